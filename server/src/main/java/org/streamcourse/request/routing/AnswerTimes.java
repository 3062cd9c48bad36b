package org.streamcourse.request.routing;

/**
 * Estimates how long one member takes to answer, from moving averages of the answer time and of its
 * deviation, as TCP's retransmission timer does (RFC 6298). Without new answers, the expected time
 * decays towards its initial value.
 */
final class AnswerTimes {
  private static final double AVERAGE_GAIN = 0.1;
  private static final double DEVIATION_GAIN = 0.25;

  /** Time constant with which the expected time decays to its initial value without answers. */
  private static final double DECAY_MILLIS = 2_000;

  /** Deviations above the average beyond which an answer is late, as in RFC 6298. */
  private static final double LATE_DEVIATIONS = 4;

  private final double initialMillis;
  private double averageMillis;
  private double deviationMillis;
  private long lastAnswerMillis;

  /**
   * Creates the estimate of a member that has not answered yet.
   *
   * @param initialMillis expected answer time until the first answer
   */
  AnswerTimes(double initialMillis) {
    this.initialMillis = initialMillis;
    this.averageMillis = initialMillis;
    this.deviationMillis = initialMillis / 2;
  }

  void add(long tookMillis, long now) {
    double error = tookMillis - averageMillis;
    averageMillis += AVERAGE_GAIN * error;
    deviationMillis += DEVIATION_GAIN * (Math.abs(error) - deviationMillis);
    lastAnswerMillis = now;
  }

  /** Returns the expected answer time in milliseconds. */
  double expectedMillis(long now) {
    double age = now - lastAnswerMillis;
    return initialMillis + (averageMillis - initialMillis) * Math.exp(-age / DECAY_MILLIS);
  }

  /** Returns the time in milliseconds after which an outstanding answer counts as late. */
  long lateAfterMillis(long now) {
    return Math.round(expectedMillis(now) + LATE_DEVIATIONS * deviationMillis);
  }
}
