package org.streamcourse.connection.backend;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamcourse.connection.wire.Backend;
import org.streamcourse.connection.wire.Frontend;
import org.streamcourse.connection.wire.WireMessage;
import org.streamcourse.process.Worker;
import org.streamcourse.version.control.MemberStatus;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;

/**
 * Keeps one connection to a member open to receive the member's status and to send it orders. The
 * member reports changes of its status as notifications; a periodic status query checks that the
 * member still answers.
 */
public final class MemberMonitor {
  private static final Logger LOG = LoggerFactory.getLogger(MemberMonitor.class);
  private static final long PING_INTERVAL_MILLIS = 250;
  private static final long REPLY_TIMEOUT_MILLIS = 800;
  private static final long RECONNECT_DELAY_MILLIS = 50;

  /** A query whose reply has not arrived yet. */
  private static final class PendingQuery {
    final List<Consumer<Optional<MemberStatus>>> callbacks = new ArrayList<>();
    final long sentAt;
    MemberStatus status;

    PendingQuery(long sentAt) {
      this.sentAt = sentAt;
    }

    void complete(Optional<MemberStatus> result) {
      callbacks.forEach(callback -> callback.accept(result));
    }
  }

  private final Worker worker;
  private final Supplier<Mono<MemberSession>> connector;
  private final long endGraceMillis;
  private final String name;
  private final List<Runnable> listeners = new CopyOnWriteArrayList<>();
  private final Deque<PendingQuery> pending = new ArrayDeque<>();
  private PendingQuery nextRefresh;
  private MemberSession session;
  private boolean connecting;

  /** Number of connections that are being closed and that the member may still hold open. */
  private int ending;

  /** Completes a stop that was requested while a connect was in progress. */
  private Runnable pendingStop = () -> {};

  private boolean stopped = true;
  private volatile boolean reachable;
  private volatile MemberStatus status = MemberStatus.UNKNOWN;
  private Disposable timer = () -> {};

  /**
   * Creates a monitor.
   *
   * @param worker worker on which the monitor runs
   * @param connector opens the monitor's connection
   * @param endGraceMillis longest time for which a connection that is being closed counts as open
   * @param name member's name for logs
   */
  public MemberMonitor(
      Worker worker, Supplier<Mono<MemberSession>> connector, long endGraceMillis, String name) {
    this.worker = worker;
    this.connector = connector;
    this.endGraceMillis = endGraceMillis;
    this.name = name;
  }

  /** Starts to connect and to query the status, unless started already; on the monitor's worker. */
  public void start() {
    if (stopped) {
      stopped = false;
      timer = worker.repeat(PING_INTERVAL_MILLIS, this::tick);
      tick();
    }
  }

  /**
   * Closes the connection; on the monitor's worker. Listeners are not notified that the member is
   * no longer reachable.
   *
   * @param ended runs on the monitor's worker when the connection no longer counts at the member
   */
  public void stop(Runnable ended) {
    timer.dispose();
    stopped = true;
    reachable = false;
    if (session != null) {
      MemberSession last = session;
      session = null;
      end(last, ended);
      failPending();
    } else if (connecting) {
      pendingStop = ended;
    } else {
      ended.run();
    }
  }

  /** Requests the member to close a connection, which counts for the grace period at most. */
  private void end(MemberSession last, Runnable ended) {
    ending++;
    SessionCloser.begin(worker, last, endGraceMillis, () -> worker.execute(() -> hasEnded(ended)));
  }

  private void hasEnded(Runnable ended) {
    ending--;
    ended.run();
  }

  /**
   * Returns the number of connections to reserve for the monitor: the one in use and those that the
   * member may not have closed yet; on the monitor's worker.
   *
   * @return at least 1
   */
  public int connections() {
    return 1 + ending;
  }

  /**
   * Adds a listener that is notified, on the monitor's worker, when status or reachability changes.
   *
   * @param listener the listener
   */
  public void onChange(Runnable listener) {
    listeners.add(listener);
  }

  /**
   * Returns whether the member answers; safe from any thread.
   *
   * @return true while it answers
   */
  public boolean isReachable() {
    return reachable;
  }

  /**
   * Returns the status that the member reported last; safe from any thread.
   *
   * @return status
   */
  public MemberStatus status() {
    return status;
  }

  /**
   * Queries the member's status; calls made before the next query is sent share that query.
   *
   * @param callback receives the status as of some time after this call, or empty when the member
   *     does not answer; on the monitor's worker
   */
  public void refresh(Consumer<Optional<MemberStatus>> callback) {
    worker.execute(
        () -> {
          if (session == null) {
            callback.accept(Optional.empty());
            return;
          }
          if (nextRefresh == null) {
            nextRefresh = new PendingQuery(worker.now());
            worker.execute(this::sendRefresh);
          }
          nextRefresh.callbacks.add(callback);
        });
  }

  /**
   * Sends an order to the member.
   *
   * @param statement statement that carries out the order and returns the status
   * @param callback receives the status afterwards, or empty when the order failed; on the
   *     monitor's worker
   */
  public void order(String statement, Consumer<Optional<MemberStatus>> callback) {
    worker.execute(
        () -> {
          if (session == null) {
            callback.accept(Optional.empty());
            return;
          }
          PendingQuery query = new PendingQuery(worker.now());
          query.callbacks.add(callback);
          pending.add(query);
          session.send(Frontend.query(statement));
        });
  }

  private void sendRefresh() {
    PendingQuery query = nextRefresh;
    nextRefresh = null;
    if (session == null) {
      query.complete(Optional.empty());
      return;
    }
    pending.add(query);
    session.send(Frontend.query(MemberStatements.STATUS));
  }

  private void tick() {
    if (stopped) {
      return;
    }
    if (session == null) {
      connect();
      return;
    }
    if (!pending.isEmpty() && worker.now() - pending.peek().sentAt > REPLY_TIMEOUT_MILLIS) {
      disconnect("no reply for " + REPLY_TIMEOUT_MILLIS + " ms");
      return;
    }
    refresh(any -> {});
  }

  /** Connects, unless the periodic tick has connected before a scheduled retry runs. */
  private void connect() {
    if (connecting || stopped || session != null) {
      return;
    }
    connecting = true;
    connector
        .get()
        .subscribe(
            opened -> worker.execute(() -> connected(opened)),
            cause -> worker.execute(() -> connectFailed(cause)));
  }

  private void connected(MemberSession opened) {
    connecting = false;
    if (stopped) {
      end(opened, takePendingStop());
      return;
    }
    session = opened;
    opened.listen(new ReplyListener(opened));
    pending.add(new PendingQuery(worker.now()));
    opened.send(Frontend.query(MemberStatements.LISTEN));
    refresh(any -> {});
  }

  private void connectFailed(Throwable cause) {
    connecting = false;
    LOG.debug("member {} did not accept the monitor's connection: {}", name, cause.toString());
    if (stopped) {
      takePendingStop().run();
      return;
    }
    setReachable(false);
    worker.schedule(RECONNECT_DELAY_MILLIS, this::connect);
  }

  private Runnable takePendingStop() {
    Runnable taken = pendingStop;
    pendingStop = () -> {};
    return taken;
  }

  private void disconnect(String cause) {
    if (session == null) {
      return;
    }
    LOG.debug("monitor lost its connection to member {}: {}", name, cause);
    MemberSession lost = session;
    session = null;
    lost.close();
    failPending();
    setReachable(false);
    connect();
  }

  private void failPending() {
    List<PendingQuery> failed = List.copyOf(pending);
    pending.clear();
    failed.forEach(query -> query.complete(Optional.empty()));
  }

  private void setReachable(boolean value) {
    if (reachable != value || !value) {
      reachable = value;
      listeners.forEach(Runnable::run);
    }
  }

  private void update(MemberStatus next) {
    boolean changed = !next.equals(status) || !reachable;
    status = next;
    reachable = true;
    if (changed) {
      listeners.forEach(Runnable::run);
    }
  }

  private void onMessage(MemberSession from, WireMessage message) {
    if (from != session) {
      return;
    }
    switch (message.type()) {
      case Backend.NOTIFICATION -> update(MemberStatements.statusFromNotification(message));
      case Backend.DATA_ROW -> {
        MemberStatus read = MemberStatements.statusFromRow(message);
        if (!pending.isEmpty()) {
          pending.peek().status = read;
        }
        update(read);
      }
      case Backend.READY -> {
        PendingQuery done = pending.poll();
        if (done != null) {
          done.complete(Optional.ofNullable(done.status));
        }
      }
      default -> {
        // Columns and tags are not needed; after an error the query completes without a status.
      }
    }
  }

  private final class ReplyListener implements MemberSession.Listener {
    private final MemberSession from;

    ReplyListener(MemberSession from) {
      this.from = from;
    }

    @Override
    public void onMessage(WireMessage message) {
      worker.execute(() -> MemberMonitor.this.onMessage(from, message));
    }

    @Override
    public void onReadComplete() {
      // Each message is handled on arrival.
    }

    @Override
    public void onClosed(String cause) {
      worker.execute(
          () -> {
            if (from == session) {
              disconnect(cause);
            }
          });
    }
  }
}
