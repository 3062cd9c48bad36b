package org.streamcourse.connection.backend;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.streamcourse.process.Worker;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;

/**
 * A node's connections to one member and its slots for running statements there, both within this
 * node's allowance, which the controllers set.
 *
 * <p>A discarded connection, and the slot of a statement that may still run on it, counts until the
 * member has closed the connection. Otherwise a member that was slow, stopped or partitioned could
 * run more connections or statements than its limits allow when it resumes.
 *
 * <p>Each request is either granted or refused through {@link Waiter}, never both, and always
 * outside the pool's lock. A request that can't be served before its deadline is refused as soon as
 * that is known: at once when the queue is full or its expected wait is too long, else at the
 * deadline.
 */
public final class MemberPool {
  /** Receives the outcome of a request for a connection or a slot. */
  public interface Waiter {
    /**
     * The request is granted.
     *
     * @param entry connection, or null when only a slot was requested
     */
    void granted(PoolEntry entry);

    /**
     * The request is refused; it holds neither a connection nor a slot.
     *
     * @param retryAfterMillis time after which a retry is reasonable
     */
    void refused(long retryAfterMillis);
  }

  private record Request(Waiter waiter, long deadline) {}

  private static final int SMOOTHING_DIVISOR = 8;
  private static final long NO_SWEEP = Long.MAX_VALUE;
  private static final long MIN_RETRY_MILLIS = 5;

  private final Worker worker;
  private final Supplier<Mono<MemberSession>> connector;
  private final PoolSettings settings;
  private final ReentrantLock lock = new ReentrantLock();
  private final Deque<PoolEntry> idle = new ArrayDeque<>();

  /** Requests that start new work and need a connection and a slot. */
  private final FairQueue<Request> starting = new FairQueue<>();

  /** Statements of open transactions, which have a connection and need a slot; served first. */
  private final Deque<Request> continuing = new ArrayDeque<>();

  private int connectionAllowance;
  private int connectionLimit;
  private int slotLimit;

  /** Slot limit for open transactions: the largest earlier limit until the pool has shrunk. */
  private int transactionSlotLimit;

  /** Connections that the member may hold open, including those being closed. */
  private int open;

  private int ending;
  private int connecting;
  private int slotsInUse;
  private long averageHeldMicros;
  private long connectAllowedAt;
  private long sweepAt = NO_SWEEP;
  private Disposable sweepTimer = () -> {};
  private boolean closed;
  private Runnable whenShrunk = () -> {};

  /**
   * Creates a pool without any allowance.
   *
   * @param worker runs connects and deadlines
   * @param connector opens one connection
   * @param settings pool settings
   */
  public MemberPool(Worker worker, Supplier<Mono<MemberSession>> connector, PoolSettings settings) {
    this.worker = worker;
    this.connector = connector;
    this.settings = settings;
  }

  /**
   * Sets the allowance. When it shrinks, idle connections are closed now and busy connections when
   * they are released. Until then no other node is granted what this node still uses, so open
   * transactions may continue with the earlier slot limit.
   *
   * @param connections maximum number of connections of this node, including the monitor's
   * @param slots maximum number of running statements
   * @param reserved number of these connections that are reserved for the monitor
   * @param onShrunk runs once the pool holds no more than allowed, possibly at once
   */
  public void setLimits(int connections, int slots, int reserved, Runnable onShrunk) {
    locked(
        after -> {
          connectionAllowance = connections;
          connectionLimit = Math.max(0, connections - reserved);
          slotLimit = slots;
          transactionSlotLimit = Math.max(transactionSlotLimit, slots);
          whenShrunk = onShrunk;
          closeExcessIdle(after);
          if (connectionLimit == 0) {
            refuseAll(starting.all(), after);
            starting.clear();
          }
          checkShrunk(after);
          connectIfNeeded(after);
          serve(after);
        });
  }

  /**
   * Sets the number of connections of the allowance that are reserved for the monitor; called when
   * that number has fallen.
   *
   * @param reserved number of reserved connections
   */
  public void setReserved(int reserved) {
    locked(
        after -> {
          connectionLimit = Math.max(0, connectionAllowance - reserved);
          checkShrunk(after);
          connectIfNeeded(after);
        });
  }

  /**
   * Requests a connection together with a slot.
   *
   * @param share share that the request counts for; shares are served in turn
   * @param budgetMillis time within which the request must be granted
   * @param waiter receives the outcome
   */
  public void acquire(String share, long budgetMillis, Waiter waiter) {
    Request request = new Request(waiter, worker.now() + budgetMillis);
    enqueue(after -> addStarting(share, request, after));
  }

  /**
   * Requests a slot for the next statement of a transaction, which holds a connection already. Such
   * requests are served before those that start new work, because open transactions hold locks.
   *
   * @param budgetMillis time within which the request must be granted
   * @param waiter receives the outcome
   */
  public void acquireSlot(long budgetMillis, Waiter waiter) {
    Request request = new Request(waiter, worker.now() + budgetMillis);
    enqueue(after -> continuing.addLast(request));
  }

  /**
   * Releases the slot of a statement that has ended.
   *
   * @param heldMillis time for which the slot was held
   */
  public void releaseSlot(long heldMillis) {
    locked(
        after -> {
          slotsInUse--;
          checkShrunk(after);
          averageHeldMicros += (heldMillis * 1_000 - averageHeldMicros) / SMOOTHING_DIVISOR;
          serve(after);
        });
  }

  /**
   * Returns a connection to the pool; it must be idle, outside a transaction and free of state of
   * its last use.
   *
   * @param entry the connection
   */
  public void release(PoolEntry entry) {
    locked(
        after -> {
          if (!closed && open - ending <= connectionLimit) {
            addIdle(entry);
          } else {
            end(entry.session(), false, after);
          }
          serve(after);
        });
  }

  /**
   * Discards a connection whose state is not known: cancels a statement that may still run on it
   * and requests the member to close it.
   *
   * @param entry the connection
   * @param withSlot whether a statement may still run there; its slot is released with the
   *     connection
   */
  public void discard(PoolEntry entry, boolean withSlot) {
    locked(
        after -> {
          end(entry.session(), withSlot, after);
          connectIfNeeded(after);
        });
  }

  /** Closes a connection, which counts until the member has closed it or the grace period ends. */
  private void end(MemberSession session, boolean withSlot, List<Runnable> after) {
    ending++;
    after.add(
        () -> {
          if (withSlot) {
            session.cancel();
          }
          SessionCloser.begin(worker, session, settings.endGraceMillis(), () -> ended(withSlot));
        });
  }

  private void ended(boolean withSlot) {
    locked(
        after -> {
          ending--;
          open--;
          slotsInUse -= withSlot ? 1 : 0;
          checkShrunk(after);
          serve(after);
          connectIfNeeded(after);
        });
  }

  /** Refuses all waiting requests and closes idle connections, busy ones when they are released. */
  public void close() {
    locked(
        after -> {
          closed = true;
          connectionLimit = 0;
          closeExcessIdle(after);
          refuseAll(after);
        });
  }

  /** Closes idle connections and refuses all waiting requests, for an unreachable member. */
  public void memberLost() {
    locked(
        after -> {
          while (!idle.isEmpty()) {
            end(idle.poll().session(), false, after);
          }
          refuseAll(after);
        });
  }

  /**
   * Returns the number of connections, including those being opened or closed.
   *
   * @return connections without the monitor's
   */
  public int size() {
    lock.lock();
    try {
      return open + connecting;
    } finally {
      lock.unlock();
    }
  }

  /** Makes a change under the lock, then runs the actions that the change has added to its list. */
  private void locked(Consumer<List<Runnable>> change) {
    List<Runnable> after = new ArrayList<>();
    lock.lock();
    try {
      change.accept(after);
    } finally {
      lock.unlock();
    }
    after.forEach(Runnable::run);
  }

  private void enqueue(Consumer<List<Runnable>> add) {
    locked(
        after -> {
          add.accept(after);
          serve(after);
          connectIfNeeded(after);
          scheduleSweep();
        });
  }

  /**
   * Adds a request unless it can't start in time. When the queue is full, the newest request of the
   * longest share is refused instead, if that share is longer.
   */
  private void addStarting(String share, Request request, List<Runnable> after) {
    long wait = expectedWaitMillis(starting.aheadOf(share));
    long longest = Math.min(settings.maxQueueMillis(), request.deadline() - worker.now());
    boolean tooLate = wait > longest && starting.aheadOf(share) > 0;
    if (closed || tooLate || !makeRoom(share, after)) {
      after.add(() -> request.waiter().refused(Math.max(MIN_RETRY_MILLIS, wait)));
      return;
    }
    starting.add(share, request);
  }

  private boolean makeRoom(String share, List<Runnable> after) {
    if (starting.size() < settings.maxWaiting()) {
      return true;
    }
    Optional<Request> displaced = starting.pollOfLongerThan(share);
    long wait = Math.max(MIN_RETRY_MILLIS, expectedWaitMillis(starting.size()));
    displaced.ifPresent(request -> after.add(() -> request.waiter().refused(wait)));
    return displaced.isPresent();
  }

  /** Estimates the wait of a request from the average time for which a slot is held. */
  private long expectedWaitMillis(int ahead) {
    int parallelism = Math.max(1, slotLimit);
    return (continuing.size() + ahead) * averageHeldMicros / parallelism / 1_000;
  }

  private void serve(List<Runnable> after) {
    while (!continuing.isEmpty() && slotsInUse < transactionSlotLimit) {
      grant(continuing.pollFirst(), null, after);
    }
    while (!starting.isEmpty() && slotsInUse < slotLimit && !idle.isEmpty()) {
      grant(starting.poll(), idle.pollFirst(), after);
    }
  }

  private void grant(Request request, PoolEntry entry, List<Runnable> after) {
    slotsInUse++;
    after.add(() -> request.waiter().granted(entry));
  }

  private void connectIfNeeded(List<Runnable> after) {
    int wanted =
        Math.max(starting.size(), settings.warmConnections() - (open - ending - idle.size()));
    int missing = Math.min(wanted - idle.size() - connecting, connectionLimit - open - connecting);
    if (missing <= 0 || closed || worker.now() < connectAllowedAt) {
      return;
    }
    for (int i = 0; i < missing; i++) {
      connecting++;
      after.add(this::connect);
    }
  }

  private void connect() {
    connector.get().subscribe(this::connected, this::connectFailed);
  }

  private void connected(MemberSession session) {
    PoolEntry entry = new PoolEntry(session);
    locked(
        after -> {
          connecting--;
          open++;
          if (closed || open - ending > connectionLimit) {
            end(session, false, after);
          } else {
            addIdle(entry);
            serve(after);
          }
        });
  }

  private void connectFailed(Throwable cause) {
    locked(
        after -> {
          connecting--;
          connectAllowedAt = worker.now() + settings.connectRetryMillis();
          checkShrunk(after);
          if (open == ending && connecting == 0) {
            refuseAll(after);
          }
        });
  }

  /** Adds a connection to the idle ones and listens for its close by the member. */
  private void addIdle(PoolEntry entry) {
    idle.addFirst(entry);
    entry.session().listen(new IdleListener(entry));
  }

  private void idleClosed(PoolEntry entry) {
    locked(
        after -> {
          if (idle.remove(entry)) {
            open--;
            checkShrunk(after);
            connectIfNeeded(after);
          }
        });
  }

  private void closeExcessIdle(List<Runnable> after) {
    while (open - ending > connectionLimit && !idle.isEmpty()) {
      end(idle.pollLast().session(), false, after);
    }
  }

  private void checkShrunk(List<Runnable> after) {
    if (open + connecting <= connectionLimit && slotsInUse <= slotLimit) {
      transactionSlotLimit = slotLimit;
      after.add(whenShrunk);
      whenShrunk = () -> {};
    }
  }

  private void refuseAll(List<Runnable> after) {
    refuseAll(continuing, after);
    refuseAll(starting.all(), after);
    continuing.clear();
    starting.clear();
  }

  private void refuseAll(Collection<Request> requests, List<Runnable> after) {
    for (Request request : requests) {
      after.add(() -> request.waiter().refused(settings.connectRetryMillis()));
    }
  }

  /** Schedules the sweep for the earliest deadline, unless one is due by then. */
  private void scheduleSweep() {
    long first =
        Stream.concat(continuing.stream(), starting.all().stream())
            .mapToLong(Request::deadline)
            .min()
            .orElse(NO_SWEEP);
    if (first < sweepAt) {
      sweepAt = first;
      sweepTimer.dispose();
      sweepTimer = worker.schedule(Math.max(1, first - worker.now()), this::sweep);
    }
  }

  private void sweep() {
    locked(
        after -> {
          long now = worker.now();
          // The timer may fire slightly early; scheduleSweep below then sets it again.
          sweepAt = NO_SWEEP;
          Predicate<Request> isExpired = request -> request.deadline() <= now;
          long wait = Math.max(MIN_RETRY_MILLIS, expectedWaitMillis(starting.size()));
          Stream.concat(continuing.stream(), starting.all().stream())
              .filter(isExpired)
              .forEach(request -> after.add(() -> request.waiter().refused(wait)));
          continuing.removeIf(isExpired);
          starting.removeIf(isExpired);
          connectIfNeeded(after);
          scheduleSweep();
        });
  }

  private final class IdleListener implements MemberSession.Listener {
    private final PoolEntry entry;

    IdleListener(PoolEntry entry) {
      this.entry = entry;
    }

    @Override
    public void onMessage(org.streamcourse.connection.wire.WireMessage message) {
      // An idle connection has no request; the member may still send parameter reports.
    }

    @Override
    public void onReadComplete() {
      // An idle connection has no buffered output.
    }

    @Override
    public void onClosed(String cause) {
      idleClosed(entry);
    }
  }
}
