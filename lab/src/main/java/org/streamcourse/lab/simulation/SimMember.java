package org.streamcourse.lab.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.streamcourse.connection.wire.Backend;
import org.streamcourse.process.Worker;
import org.streamcourse.version.control.MemberRole;
import org.streamcourse.version.control.MemberStatus;
import org.streamcourse.version.image.TermPosition;

/**
 * A simulated database member. It follows the same rules of terms, fencing, replication and
 * promotion as the member process of the lab, without a database engine. Its log survives a kill,
 * but not the loss of its disk.
 */
public class SimMember {
  private static final long PULL_MILLIS = 10;

  private final String name;
  private final SimHost host;
  private final SimNetwork network;
  private final History history;
  private final Map<String, SimMember> peers;
  private final List<SimRecord> log = new ArrayList<>();

  /** Last position of each term in the log. */
  private final TreeMap<Long, Long> termEnds = new TreeMap<>();

  private final Map<String, List<String>> bookings = new HashMap<>();
  private final Set<SimMemberSession> sessions = new LinkedHashSet<>();
  private Worker worker;
  private long term;
  private MemberRole role = MemberRole.FENCED;
  private String upstream = "";
  private TermPosition matched = TermPosition.ZERO;
  private int applied;
  private long lagMillis;
  private int runningStatements;

  /**
   * Creates a member that is not running.
   *
   * @param name member's name
   * @param host host that the member runs on
   * @param network network between hosts
   * @param history records events and checks them
   * @param peers members of the group by name; this member is added after its construction
   */
  SimMember(
      String name,
      SimHost host,
      SimNetwork network,
      History history,
      Map<String, SimMember> peers) {
    this.name = name;
    this.host = host;
    this.network = network;
    this.history = history;
    this.peers = peers;
  }

  void boot() {
    host.boot(this::killed);
    worker = host.worker();
    role = MemberRole.FENCED;
    upstream = "";
    matched = TermPosition.ZERO;
    runningStatements = 0;
    applied = log.size();
    rebuild();
    worker.schedule(PULL_MILLIS, this::pullPeriodically);
  }

  private void killed() {
    history.event("member " + id() + " is killed");
    List<SimMemberSession> ended = new ArrayList<>(sessions);
    sessions.clear();
    ended.forEach(SimMemberSession::closeByMember);
  }

  /** Discards the stored log and term. */
  void loseDisk() {
    truncate(0);
    term = 0;
  }

  String id() {
    return World.GROUP + '/' + name;
  }

  SimHost host() {
    return host;
  }

  History history() {
    return history;
  }

  SimNetwork network() {
    return network;
  }

  Worker worker() {
    return worker;
  }

  List<SimRecord> log() {
    return log;
  }

  boolean isPrimary() {
    return role == MemberRole.PRIMARY;
  }

  void setLagMillis(long millis) {
    lagMillis = millis;
  }

  private TermPosition end() {
    return log.isEmpty() ? TermPosition.ZERO : log.get(log.size() - 1).logPosition();
  }

  MemberStatus status() {
    TermPosition appliedPosition =
        applied == 0 ? TermPosition.ZERO : log.get(applied - 1).logPosition();
    TermPosition matching = role == MemberRole.PRIMARY ? end() : matched;
    return new MemberStatus(term, role, upstream, end(), matching, appliedPosition);
  }

  private void notifySessions() {
    sessions.forEach(SimMemberSession::statusChanged);
  }

  // ---- orders ----

  /**
   * Enters a term as fenced; orders of older terms are refused from then on.
   *
   * @param newTerm term of the order
   * @return whether the order was executed
   */
  protected boolean fence(long newTerm) {
    boolean repeated = newTerm == term && role == MemberRole.FENCED;
    if (!repeated && newTerm <= term) {
      return false;
    }
    term = newTerm;
    leaveRole(MemberRole.FENCED, "");
    return true;
  }

  /**
   * Promotes this member to primary of the term for which it is fenced.
   *
   * @param newTerm term of the order
   * @return whether the order was executed
   */
  protected boolean promote(long newTerm) {
    if (newTerm != term || role == MemberRole.REPLICA) {
      return false;
    }
    while (applied < log.size()) {
      applyNext();
    }
    role = MemberRole.PRIMARY;
    history.event(id() + " is primary of term " + term + " at " + end());
    notifySessions();
    return true;
  }

  boolean follow(long newTerm, String primary) {
    if (newTerm < term || (role == MemberRole.PRIMARY && newTerm == term)) {
      return false;
    }
    term = newTerm;
    if (role != MemberRole.REPLICA || !upstream.equals(primary)) {
      leaveRole(MemberRole.REPLICA, primary);
    }
    return true;
  }

  private void leaveRole(MemberRole next, String nextUpstream) {
    boolean wasPrimary = role == MemberRole.PRIMARY;
    role = next;
    upstream = nextUpstream;
    matched = TermPosition.ZERO;
    if (wasPrimary) {
      List.copyOf(sessions).forEach(SimMemberSession::endIfWriting);
    }
    notifySessions();
  }

  // ---- statements ----

  /** Commits bookings at the primary; returns null when this member is not primary. */
  TermPosition commit(List<SimRecord.Booking> written) {
    if (role != MemberRole.PRIMARY) {
      return null;
    }
    append(new SimRecord(term, log.size() + 1L, List.copyOf(written)));
    while (applied < log.size()) {
      applyNext();
    }
    notifySessions();
    return end();
  }

  private void append(SimRecord record) {
    log.add(record);
    termEnds.put(record.term(), record.position());
    history.logged(record);
  }

  private void truncate(int length) {
    log.subList(length, log.size()).clear();
    termEnds.clear();
    log.forEach(record -> termEnds.put(record.term(), record.position()));
  }

  List<String> read(String slot) {
    return List.copyOf(bookings.getOrDefault(slot, List.of()));
  }

  private void applyNext() {
    SimRecord record = log.get(applied);
    applied++;
    record
        .bookings()
        .forEach(
            booking ->
                bookings
                    .computeIfAbsent(booking.slot(), any -> new ArrayList<>())
                    .add(booking.id()));
  }

  /** Rebuilds the rows that reads return from the applied part of the log. */
  private void rebuild() {
    int target = applied;
    applied = 0;
    bookings.clear();
    while (applied < target) {
      applyNext();
    }
  }

  // ---- replication ----

  private void pullPeriodically() {
    SimMember primary = peers.get(upstream);
    if (role == MemberRole.REPLICA && primary != null) {
      long atTerm = term;
      Map<Long, Long> ends = Map.copyOf(termEnds);
      network.deliver(
          host.name(),
          primary.host.name(),
          () ->
              primary.host.execute(
                  primary.host.incarnation(), () -> primary.serve(this, atTerm, ends)));
    }
    worker.schedule(PULL_MILLIS, this::pullPeriodically);
  }

  /**
   * Returns whether this member may send its log to a replica of a term.
   *
   * @param atTerm term of the replica
   * @return true when this member is the primary of that term
   */
  private boolean mayServe(long atTerm) {
    return role == MemberRole.PRIMARY && atTerm == term;
  }

  private void serve(SimMember replica, long atTerm, Map<Long, Long> replicaEnds) {
    if (!mayServe(atTerm)) {
      return;
    }
    long common =
        replicaEnds.entrySet().stream()
            .filter(each -> termEnds.containsKey(each.getKey()))
            .mapToLong(each -> Math.min(each.getValue(), termEnds.get(each.getKey())))
            .max()
            .orElse(0);
    List<SimRecord> records = List.copyOf(log.subList((int) common, log.size()));
    int incarnation = replica.host.incarnation();
    network.deliver(
        host.name(),
        replica.host.name(),
        () ->
            replica.host.execute(
                incarnation, () -> replica.receive(name, atTerm, common, records)));
  }

  /**
   * Returns whether records of a primary may be received.
   *
   * @param primary name of the sender
   * @param atTerm term of the sender
   * @return true while this member follows the sender in that term
   */
  private boolean mayReceive(String primary, long atTerm) {
    return role == MemberRole.REPLICA && upstream.equals(primary) && term == atTerm;
  }

  private void receive(String primary, long atTerm, long common, List<SimRecord> records) {
    if (!mayReceive(primary, atTerm)) {
      return;
    }
    if (diverges(atTerm, (int) common, records)) {
      truncate((int) common);
      if (applied > common) {
        applied = (int) common;
        rebuild();
      }
    }
    int known = Math.min(records.size(), log.size() - (int) common);
    records.subList(known, records.size()).forEach(this::append);
    matched = end();
    notifySessions();
    int target = log.size();
    if (target > applied) {
      worker.schedule(lagMillis, () -> applyUpTo(target));
    }
  }

  /** Whether the log after the common end differs from the primary's log of that term. */
  private boolean diverges(long atTerm, int common, List<SimRecord> records) {
    List<SimRecord> tail = log.subList(common, log.size());
    int overlap = Math.min(tail.size(), records.size());
    boolean differs = !tail.subList(0, overlap).equals(records.subList(0, overlap));
    boolean longer = tail.size() > overlap && tail.get(tail.size() - 1).term() < atTerm;
    return differs || longer;
  }

  private void applyUpTo(int target) {
    while (applied < Math.min(target, log.size()) && role != MemberRole.FENCED) {
      applyNext();
    }
    notifySessions();
  }

  // ---- sessions ----

  /** Opens a session; the history checks the connection limit, which is not enforced here. */
  void opened(SimMemberSession session) {
    sessions.add(session);
    history.connectionsAt(id(), sessions.size(), World.CONNECTION_LIMIT);
  }

  void closed(SimMemberSession session) {
    sessions.remove(session);
  }

  /**
   * Returns whether a request key is free: neither committed nor claimed by an open transaction.
   *
   * @param claim row that holds the request key
   * @return SQLSTATE of the refusal, or an empty string when the key is free
   */
  protected String refusalOfClaim(SimRecord.Booking claim) {
    if (bookings.getOrDefault(claim.slot(), List.of()).contains(claim.id())) {
      return "23505";
    }
    return sessions.stream().anyMatch(each -> each.hasWritten(claim)) ? "55P03" : "";
  }

  /**
   * Returns the transaction status that a session reports.
   *
   * @param inTransaction whether a transaction is open
   * @return status of the wire protocol
   */
  protected char reportedStatus(boolean inTransaction) {
    return inTransaction ? Backend.STATUS_IN_TRANSACTION : Backend.STATUS_IDLE;
  }

  void statementStarted() {
    runningStatements++;
    history.slotsAt(id(), runningStatements, World.SLOT_LIMIT);
  }

  void statementEnded() {
    runningStatements--;
  }
}
