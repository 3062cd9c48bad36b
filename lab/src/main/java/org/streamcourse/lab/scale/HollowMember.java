package org.streamcourse.lab.scale;

import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.streamcourse.connection.backend.MemberSession;
import org.streamcourse.connection.backend.MemberStatements;
import org.streamcourse.connection.wire.Backend;
import org.streamcourse.connection.wire.WireBuilder;
import org.streamcourse.connection.wire.WireMessage;
import org.streamcourse.process.Worker;
import org.streamcourse.version.control.MemberRole;
import org.streamcourse.version.control.MemberStatus;
import org.streamcourse.version.image.TermPosition;

/**
 * Simulated database member without data. It has a term, a role and log positions, replies to
 * status queries and orders with real protocol messages, and notifies listening connections of
 * changes. Its state is guarded by the monitor of this object.
 */
final class HollowMember {
  private static final Pattern ORDER =
      Pattern.compile("SELECT \\* FROM group_(fence|promote|follow)\\((\\d+)(?:, '([^']*)')?\\)");

  private final String name;
  private final Worker worker;
  private final Set<Session> listeningSessions = ConcurrentHashMap.newKeySet();
  private final Set<Session> sessions = ConcurrentHashMap.newKeySet();
  private MemberStatus status =
      new MemberStatus(
          0, MemberRole.FENCED, "", TermPosition.ZERO, TermPosition.ZERO, TermPosition.ZERO);
  private volatile boolean down;

  HollowMember(String name, Worker worker) {
    this.name = name;
    this.worker = worker;
  }

  synchronized MemberStatus status() {
    return status;
  }

  boolean isDown() {
    return down;
  }

  /** Simulates a crash: closes all connections and accepts no new ones. */
  void die() {
    down = true;
    List.copyOf(sessions).forEach(Session::reset);
  }

  /** Opens a connection; returns null when the member is down. */
  MemberSession open() {
    if (down) {
      return null;
    }
    Session session = new Session();
    sessions.add(session);
    return session;
  }

  /** Advances the log position by one record if this member is the primary. */
  synchronized boolean advance() {
    if (down || status.role() != MemberRole.PRIMARY) {
      return false;
    }
    setPosition(new TermPosition(status.term(), status.received().position() + 1));
    return true;
  }

  /** Adopts a primary's log position if this member follows that primary. */
  synchronized void follow(String primary, MemberStatus from) {
    if (!down && status.upstream().equals(primary) && status.term() == from.term()) {
      setPosition(from.received());
    }
  }

  private void setPosition(TermPosition position) {
    status =
        new MemberStatus(
            status.term(), status.role(), status.upstream(), position, position, position);
    notifySessions();
  }

  private void notifySessions() {
    byte[] notification =
        WireBuilder.message(Backend.NOTIFICATION)
            .int32(1)
            .text("group_status")
            .text(MemberStatements.notificationPayload(status))
            .bytes();
    listeningSessions.forEach(each -> each.deliver(notification));
  }

  private synchronized boolean executeOrder(String kind, long term, String primary) {
    boolean refused = term < status.term();
    if (refused || (kind.equals("promote") && status.role() == MemberRole.REPLICA)) {
      return false;
    }
    MemberRole role =
        switch (kind) {
          case "fence" -> MemberRole.FENCED;
          case "promote" -> MemberRole.PRIMARY;
          default -> MemberRole.REPLICA;
        };
    String upstream = role == MemberRole.REPLICA ? primary : "";
    status =
        new MemberStatus(
            term, role, upstream, status.received(), status.received(), status.applied());
    notifySessions();
    return true;
  }

  /** One connection from a gateway to the member. */
  private final class Session implements MemberSession {
    private volatile Listener listener;

    @Override
    public void listen(Listener next) {
      listener = next;
    }

    @Override
    public void send(byte[] messages) {
      String sql = new WireMessage(messages).body().text();
      worker.execute(() -> execute(sql));
    }

    private void execute(String sql) {
      Matcher order = ORDER.matcher(sql);
      if (sql.equals(MemberStatements.LISTEN)) {
        listeningSessions.add(this);
        deliver(Backend.commandComplete("LISTEN"));
      } else if (sql.equals(MemberStatements.STATUS)) {
        sendStatus();
      } else if (order.matches()) {
        if (executeOrder(order.group(1), Long.parseLong(order.group(2)), order.group(3))) {
          sendStatus();
        } else {
          deliver(
              Backend.error(
                  "ERROR",
                  "55000",
                  name + " refused the order in its current term or role",
                  "",
                  ""));
        }
      }
      deliver(Backend.ready(Backend.STATUS_IDLE));
    }

    private void sendStatus() {
      deliver(Backend.textRow(MemberStatements.fields(status())));
    }

    void deliver(byte[] message) {
      Listener current = listener;
      if (current != null) {
        current.onMessage(new WireMessage(message));
      }
    }

    void reset() {
      Listener current = listener;
      close();
      if (current != null) {
        current.onClosed("connection reset");
      }
    }

    @Override
    public void pauseReading() {
      // The member runs no callers' statements, so there are no results to hold back.
    }

    @Override
    public void resumeReading() {
      // The member runs no callers' statements, so there are no results to hold back.
    }

    @Override
    public void cancel() {
      // No statement runs long enough to be cancelled.
    }

    @Override
    public void end(Runnable whenEnded) {
      close();
      whenEnded.run();
    }

    @Override
    public void close() {
      listeningSessions.remove(this);
      sessions.remove(this);
      listener = null;
    }
  }
}
