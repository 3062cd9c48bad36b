package org.streamcourse.connection.frontend;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.streamcourse.connection.frontend.FrontendConnection.CallerSession;
import org.streamcourse.connection.frontend.FrontendConnection.SessionFactory;
import org.streamcourse.connection.wire.WireMessage;
import org.streamcourse.process.ErrorCode;
import org.streamcourse.process.PlannedStop;
import org.streamcourse.process.StreamcourseException;
import org.streamcourse.process.Worker;
import org.streamcourse.request.edge.EdgeNode;

/** The sessions of this node's callers. */
public final class CallerSessions implements SessionFactory, PlannedStop.Sessions {
  private final Supplier<Worker> workers;
  private final EdgeNode edge;
  private final FrontendSettings settings;
  private final Set<ConnectionSession> sessions = ConcurrentHashMap.newKeySet();
  private volatile boolean draining;

  /**
   * Creates an empty set of sessions.
   *
   * @param workers supplies the worker of each session
   * @param edge this node's edge
   * @param settings settings of callers' connections
   */
  public CallerSessions(Supplier<Worker> workers, EdgeNode edge, FrontendSettings settings) {
    this.workers = workers;
    this.edge = edge;
    this.settings = settings;
  }

  @Override
  public boolean databaseExists(String database) {
    return edge.image().group(database).isPresent();
  }

  @Override
  public CallerSession open(
      CallerChannel channel, String database, String user, Map<String, String> options) {
    if (draining) {
      throw new StreamcourseException(
          ErrorCode.NODE_NOT_SERVING, "startup", "", "this proxy is stopping");
    }
    ConnectionSession session =
        new ConnectionSession(channel, edge, workers.get(), settings, database, user);
    options.forEach(session::startupParameter);
    session.open();
    sessions.add(session);
    return new Registered(session);
  }

  /**
   * Returns the number of sessions.
   *
   * @return sessions of logged-in callers
   */
  public int count() {
    return sessions.size();
  }

  /** Ends each session as soon as it has no request running and no transaction open. */
  public void drain() {
    draining = true;
    sessions.forEach(ConnectionSession::drain);
  }

  @Override
  public boolean haveEnded() {
    return sessions.isEmpty();
  }

  @Override
  public void end() {
    sessions.forEach(ConnectionSession::end);
  }

  @Override
  public void terminate() {
    sessions.forEach(ConnectionSession::terminate);
  }

  /** Removes the session from the set when its connection closes. */
  private final class Registered implements CallerSession {
    private final ConnectionSession session;

    Registered(ConnectionSession session) {
      this.session = session;
    }

    @Override
    public void receive(WireMessage message) {
      session.receive(message);
    }

    @Override
    public void channelClosed() {
      sessions.remove(session);
      session.channelClosed();
    }

    @Override
    public void cancel() {
      session.cancel();
    }
  }
}
