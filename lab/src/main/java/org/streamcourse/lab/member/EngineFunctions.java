package org.streamcourse.lab.member;

import java.util.concurrent.TimeUnit;

/** SQL functions that H2 lacks. Public because H2 calls them by reflection. */
public final class EngineFunctions {
  private EngineFunctions() {}

  /**
   * Body of the SQL function {@code pg_sleep}.
   *
   * @param seconds time to wait
   * @return true
   * @throws InterruptedException when the statement is cancelled
   */
  public static boolean sleep(double seconds) throws InterruptedException {
    TimeUnit.MILLISECONDS.sleep((long) (seconds * 1_000));
    return true;
  }
}
