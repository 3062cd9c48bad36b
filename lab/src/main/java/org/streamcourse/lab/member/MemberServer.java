package org.streamcourse.lab.member;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamcourse.process.settings.HostPort;

/** Accepts SQL connections to a member and enforces its limits. */
final class MemberServer {
  /**
   * Limits and login of a member.
   *
   * @param connections maximum number of connections
   * @param slots maximum number of statements that run at the same time
   * @param connectMillis simulated time to establish a connection
   * @param user user name
   * @param password password
   */
  record Limits(int connections, int slots, long connectMillis, String user, String password) {}

  private static final Logger LOG = LoggerFactory.getLogger(MemberServer.class);
  private static final int BACKLOG = 512;

  private final Member member;
  private final Limits limits;
  private final Semaphore slots;
  private final AtomicLong statementsRun = new AtomicLong();
  private final AtomicInteger connections = new AtomicInteger();
  private final AtomicInteger processes = new AtomicInteger();
  private final Map<Integer, SqlSession> sessions = new ConcurrentHashMap<>();

  MemberServer(Member member, Limits limits) {
    this.member = member;
    this.limits = limits;
    this.slots = new Semaphore(limits.slots());
    member.addListener(
        new Member.Listener() {
          @Override
          public void onStatusChanged(org.streamcourse.version.control.MemberStatus status) {
            sessions.values().forEach(session -> session.notifyStatus(status));
          }

          @Override
          public void onPrimaryLost() {
            sessions.values().forEach(SqlSession::closeIfWriting);
          }

          @Override
          public void onDatabaseReplaced() {
            sessions.values().forEach(SqlSession::closeIfUsingDatabase);
          }
        });
  }

  void start(HostPort listen) throws IOException {
    ServerSocket server = new ServerSocket();
    server.setReuseAddress(true);
    server.bind(new InetSocketAddress(listen.host(), listen.port()), BACKLOG);
    Thread acceptor = new Thread(() -> accept(server), "sql-accept");
    acceptor.start();
  }

  private void accept(ServerSocket server) {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        SqlSession session = new SqlSession(socket, this, processes.incrementAndGet());
        Thread thread = new Thread(session, "sql-" + session.process());
        thread.setDaemon(true);
        thread.start();
      } catch (IOException e) {
        LOG.warn("SQL connection could not be accepted", e);
      }
    }
  }

  Member member() {
    return member;
  }

  Limits limits() {
    return limits;
  }

  /** Counts a session as a connection; returns false when the connection limit is reached. */
  boolean admit(SqlSession session) {
    if (connections.incrementAndGet() > limits.connections()) {
      connections.decrementAndGet();
      LOG.warn("connection limit {} exceeded", limits.connections());
      return false;
    }
    sessions.put(session.process(), session);
    return true;
  }

  void removeSession(SqlSession session) {
    if (sessions.remove(session.process()) != null) {
      connections.decrementAndGet();
    }
  }

  void cancel(int process, int secret) {
    SqlSession session = sessions.get(process);
    if (session != null && session.secret() == secret) {
      session.cancelRunning();
    }
  }

  /**
   * Acquires a slot for one statement. Refuses a statement beyond the slot limit: the proxy must
   * not send it.
   */
  void acquireSlot() throws SqlError {
    if (!slots.tryAcquire()) {
      LOG.warn("slot limit {} exceeded", limits.slots());
      throw new SqlError("53000", "too many statements run at the same time");
    }
    statementsRun.incrementAndGet();
  }

  /** Number of callers' statements that acquired a slot since the server's start. */
  long statementsRun() {
    return statementsRun.get();
  }

  void releaseSlot() {
    slots.release();
  }
}
