package org.streamcourse.connection.admin;

import java.util.Map;
import java.util.function.Supplier;
import org.streamcourse.connection.frontend.CallerChannel;
import org.streamcourse.connection.frontend.FrontendConnection.CallerSession;
import org.streamcourse.connection.frontend.FrontendConnection.SessionFactory;
import org.streamcourse.process.Worker;

/** Opens operators' sessions; every database name is accepted. */
public final class AdminSessions implements SessionFactory {
  private final Supplier<Worker> workers;
  private final StatementRouter router;

  /**
   * Creates the factory.
   *
   * @param workers supplies the worker of each session
   * @param router forwards statements to the leader
   */
  public AdminSessions(Supplier<Worker> workers, StatementRouter router) {
    this.workers = workers;
    this.router = router;
  }

  @Override
  public boolean databaseExists(String database) {
    return true;
  }

  @Override
  public CallerSession open(
      CallerChannel channel, String database, String user, Map<String, String> options) {
    return new AdminSession(channel, workers.get(), router);
  }
}
