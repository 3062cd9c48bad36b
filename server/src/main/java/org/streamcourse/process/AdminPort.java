package org.streamcourse.process;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.streamcourse.connection.admin.AdminSessions;
import org.streamcourse.connection.admin.StatementRouter;
import org.streamcourse.connection.frontend.FrontendSettings;
import org.streamcourse.connection.frontend.ScramVerifier;
import org.streamcourse.process.settings.CommonSettings.User;
import org.streamcourse.process.settings.HostPort;
import reactor.netty.resources.LoopResources;

/** Opens the port at which a controller accepts operators (PostgreSQL protocol). */
final class AdminPort {
  private static final long LOGIN_TIMEOUT_MILLIS = 10_000;
  private static final int MAX_STATEMENT_BYTES = 1024 * 1024;

  private AdminPort() {}

  /** Opens the port. */
  static CallerPort open(
      HostPort address,
      List<User> operators,
      LoopResources loops,
      WorkerPool workers,
      StatementRouter router) {
    Map<String, ScramVerifier> users = new TreeMap<>();
    operators.forEach(user -> users.put(user.name(), ScramVerifier.of(user.password())));
    FrontendSettings frontend =
        new FrontendSettings(
            LOGIN_TIMEOUT_MILLIS, MAX_STATEMENT_BYTES, MAX_STATEMENT_BYTES, 0, users);
    return new CallerPort(address, loops, workers, frontend, new AdminSessions(workers, router));
  }
}
