package org.streamcourse.lab.member;

import java.sql.Connection;
import java.sql.SQLException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamcourse.process.Disk;
import org.streamcourse.version.control.MemberRole;
import org.streamcourse.version.control.MemberStatus;
import org.streamcourse.version.image.TermPosition;

/**
 * State of one member: its role in a term, its log and its database, all guarded by one lock. The
 * primary appends, syncs and commits each transaction under that lock, so transactions become
 * visible in the order of the log.
 */
final class Member {
  /** Thrown when the role or the term of the member does not allow the requested operation. */
  static final class WrongRoleException extends Exception {
    private static final long serialVersionUID = 1;

    WrongRoleException(String message) {
      super(message);
    }
  }

  /** Is notified of changes of the member's status, role and database. */
  interface Listener {
    void onStatusChanged(MemberStatus status);

    /** The member has stopped being the primary: transactions with writes must end. */
    void onPrimaryLost();

    void onDatabaseReplaced();
  }

  private static final Logger LOG = LoggerFactory.getLogger(Member.class);
  private static final int APPLY_BATCH = 64;

  private final ReentrantLock lock = new ReentrantLock();
  private final Condition changed = lock.newCondition();
  private final MemberLog log;
  private final List<Listener> listeners = new CopyOnWriteArrayList<>();
  private final Map<Long, Long> receivedAtMillis = new java.util.HashMap<>();
  private Engine engine;
  private MemberRole role = MemberRole.FENCED;
  private String upstream = "";
  private TermPosition matched = TermPosition.ZERO;
  private TermPosition applied = TermPosition.ZERO;
  private volatile long lagMillis;

  Member(Disk disk, long lagMillis) throws SQLException {
    this.log = new MemberLog(disk);
    this.lagMillis = lagMillis;
    this.engine = new Engine();
    Thread applier = new Thread(this::applyForever, "applier");
    applier.setDaemon(true);
    applier.start();
  }

  void addListener(Listener listener) {
    listeners.add(listener);
  }

  void setLagMillis(long millis) {
    lagMillis = millis;
  }

  MemberStatus status() {
    lock.lock();
    try {
      TermPosition matching = role == MemberRole.PRIMARY ? log.end() : matched;
      return new MemberStatus(log.term(), role, upstream, log.end(), matching, applied);
    } finally {
      lock.unlock();
    }
  }

  private void notifyStatusChanged() {
    changed.signalAll();
    MemberStatus status = status();
    listeners.forEach(listener -> listener.onStatusChanged(status));
  }

  Connection connect() throws SQLException {
    lock.lock();
    try {
      return engine.connect();
    } finally {
      lock.unlock();
    }
  }

  boolean isPrimary() {
    lock.lock();
    try {
      return role == MemberRole.PRIMARY;
    } finally {
      lock.unlock();
    }
  }

  // ---- orders of the controller ----

  MemberStatus fence(long term) throws WrongRoleException {
    lock.lock();
    try {
      boolean repeated = term == log.term() && role == MemberRole.FENCED;
      if (!repeated && term <= log.term()) {
        throw new WrongRoleException("term " + term + " is not above " + log.term());
      }
      if (!repeated) {
        log.saveTerm(term);
      }
      changeRole(MemberRole.FENCED, "");
      LOG.info("member is fenced at term {}, log end is {}", term, log.end());
      return status();
    } finally {
      lock.unlock();
    }
  }

  MemberStatus promote(long term) throws WrongRoleException {
    lock.lock();
    try {
      if (term != log.term() || role == MemberRole.REPLICA) {
        throw new WrongRoleException(
            "not fenced at term " + term + " but " + role + " at " + log.term());
      }
      while (!applied.equals(log.end()) && role == MemberRole.FENCED) {
        applyNext(true);
      }
      role = MemberRole.PRIMARY;
      LOG.info("member is primary of term {}, log end is {}", term, log.end());
      notifyStatusChanged();
      return status();
    } finally {
      lock.unlock();
    }
  }

  MemberStatus follow(long term, String primary) throws WrongRoleException {
    lock.lock();
    try {
      boolean primaryNow = role == MemberRole.PRIMARY && term == log.term();
      if (term < log.term() || primaryNow) {
        throw new WrongRoleException("member is " + role + " at term " + log.term());
      }
      if (term > log.term()) {
        log.saveTerm(term);
      }
      if (role != MemberRole.REPLICA || !upstream.equals(primary)) {
        changeRole(MemberRole.REPLICA, primary);
        LOG.info("member follows {} at term {}", primary, term);
      } else {
        notifyStatusChanged();
      }
      return status();
    } finally {
      lock.unlock();
    }
  }

  private void changeRole(MemberRole next, String nextUpstream) {
    boolean wasPrimary = role == MemberRole.PRIMARY;
    role = next;
    upstream = nextUpstream;
    matched = TermPosition.ZERO;
    if (wasPrimary) {
      listeners.forEach(Listener::onPrimaryLost);
    }
    notifyStatusChanged();
  }

  // ---- the primary's commits ----

  /** Appends a transaction's writes to the log and commits it; returns its log position. */
  TermPosition commit(Connection connection, List<LoggedStatement> statements)
      throws SQLException, WrongRoleException {
    lock.lock();
    try {
      if (role != MemberRole.PRIMARY) {
        connection.rollback();
        throw new WrongRoleException("cannot commit: this member is not the primary");
      }
      LogRecord record =
          new LogRecord(log.term(), log.end().position() + 1, new ArrayList<>(statements));
      log.append(List.of(record));
      connection.commit();
      applied = record.termPosition();
      notifyStatusChanged();
      return applied;
    } finally {
      lock.unlock();
    }
  }

  // ---- replication ----

  /**
   * Returns the last offset up to which this primary's log and a replica's log are equal.
   *
   * @param term term of the primary that the replica follows
   * @param replicaTermEnds the replica's last offset of each term
   */
  long commonEnd(long term, Map<Long, Long> replicaTermEnds) throws WrongRoleException {
    lock.lock();
    try {
      requirePrimary(term);
      Map<Long, Long> own = log.termEnds();
      return replicaTermEnds.entrySet().stream()
          .filter(each -> own.containsKey(each.getKey()))
          .mapToLong(each -> Math.min(each.getValue(), own.get(each.getKey())))
          .max()
          .orElse(0);
    } finally {
      lock.unlock();
    }
  }

  /** Returns records after an offset; waits for them, and returns none after the given time. */
  List<LogRecord> recordsAfter(long term, long position, long waitMillis)
      throws WrongRoleException, InterruptedException {
    lock.lock();
    try {
      requirePrimary(term);
      if (log.end().position() <= position) {
        changed.await(waitMillis, TimeUnit.MILLISECONDS);
        requirePrimary(term);
      }
      return log.after(position, APPLY_BATCH);
    } finally {
      lock.unlock();
    }
  }

  private void requirePrimary(long term) throws WrongRoleException {
    if (role != MemberRole.PRIMARY || term != log.term()) {
      throw new WrongRoleException("member is " + role + " at term " + log.term());
    }
  }

  /** Request that this replica sends to its primary; null while the member isn't a replica. */
  ReplicationRequest replicationRequest() {
    lock.lock();
    try {
      return role == MemberRole.REPLICA
          ? new ReplicationRequest(log.term(), upstream, log.termEnds())
          : null;
    } finally {
      lock.unlock();
    }
  }

  record ReplicationRequest(long term, String primary, Map<Long, Long> termEnds) {}

  /**
   * Starts to follow the primary at the common end of both logs. Drops the records after it: they
   * were never acknowledged.
   */
  void startReplication(ReplicationRequest request, long commonEnd)
      throws WrongRoleException, SQLException {
    lock.lock();
    try {
      requireStillFollowing(request);
      if (log.end().position() > commonEnd) {
        LOG.info("member drops log records after offset {}, log end was {}", commonEnd, log.end());
        log.truncateAfter(commonEnd);
        if (applied.position() > commonEnd) {
          rebuild();
        }
      }
      matched = log.end();
      notifyStatusChanged();
    } finally {
      lock.unlock();
    }
  }

  private void rebuild() throws SQLException {
    engine.close();
    engine = new Engine();
    applied = TermPosition.ZERO;
    listeners.forEach(Listener::onDatabaseReplaced);
    while (!applied.equals(log.end())) {
      applyNext(true);
    }
  }

  /** Appends records received from the primary to the log and syncs it. */
  void receive(ReplicationRequest request, List<LogRecord> records) throws WrongRoleException {
    lock.lock();
    try {
      requireStillFollowing(request);
      log.append(records);
      matched = log.end();
      long now = nowMillis();
      records.forEach(record -> receivedAtMillis.put(record.position(), now));
      notifyStatusChanged();
    } finally {
      lock.unlock();
    }
  }

  private void requireStillFollowing(ReplicationRequest request) throws WrongRoleException {
    boolean same =
        role == MemberRole.REPLICA
            && request.term() == log.term()
            && request.primary().equals(upstream);
    if (!same) {
      throw new WrongRoleException("member no longer follows " + request.primary());
    }
  }

  // ---- applying ----

  private static long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  private void applyForever() {
    while (!Thread.currentThread().isInterrupted()) {
      lock.lock();
      try {
        if (role == MemberRole.PRIMARY || !applyNext(false)) {
          changed.await(applyWaitMillis(), TimeUnit.MILLISECONDS);
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      } finally {
        lock.unlock();
      }
    }
  }

  private long applyWaitMillis() {
    return lagMillis > 0 ? 1 : 100;
  }

  /**
   * Applies the next record if there is one and its lag has passed.
   *
   * @param ignoreLag whether to apply the record without waiting for the lag
   * @return whether a record was applied
   */
  private boolean applyNext(boolean ignoreLag) {
    LogRecord next = log.at(applied.position() + 1);
    if (next == null) {
      return false;
    }
    long receivedAt = receivedAtMillis.getOrDefault(next.position(), 0L);
    if (!ignoreLag && nowMillis() - receivedAt < lagMillis) {
      return false;
    }
    try {
      engine.apply(next);
    } catch (SQLException e) {
      if (e.getErrorCode() == Engine.LOCK_TIMEOUT_ERROR) {
        // A transaction from the time when this member was primary still holds the lock.
        engine.rollback();
        return false;
      }
      throw new IllegalStateException("failed to apply log record " + next.termPosition(), e);
    }
    receivedAtMillis.remove(next.position());
    applied = next.termPosition();
    notifyStatusChanged();
    return true;
  }
}
