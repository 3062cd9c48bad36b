package org.streamcourse.version.agreement;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamcourse.process.ErrorCode;
import org.streamcourse.process.StreamcourseException;
import org.streamcourse.process.Worker;
import org.streamcourse.version.agreement.AgreementMessage.AppendRequest;
import org.streamcourse.version.agreement.AgreementMessage.AppendResponse;
import org.streamcourse.version.agreement.AgreementMessage.JoinRequest;
import org.streamcourse.version.agreement.AgreementMessage.SnapshotRequest;
import org.streamcourse.version.agreement.AgreementMessage.VoteRequest;
import org.streamcourse.version.agreement.AgreementMessage.VoteResponse;
import reactor.core.Disposable;

/**
 * One controller's part in the replicated log, after the Raft protocol.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>A term has at most one leader: a vote is durable before it is sent.
 *   <li>An entry counts for a controller only once it is synced there; it is committed once a
 *       majority of the voters has it and it, or a later one, is of the leader's own term.
 *   <li>Voters change one at a time, never while an earlier change is uncommitted.
 *   <li>A pre-vote precedes each election, so a controller that was cut off does not disturb a
 *       working leader on its return. A leader that has not heard a majority for an election
 *       timeout steps down.
 * </ul>
 *
 * All methods run on the controller's worker.
 */
public final class AgreementNode {
  private static final Logger LOG = LoggerFactory.getLogger(AgreementNode.class);

  private final Worker worker;
  private final AgreementNetwork network;
  private final RecordLog log;
  private final StateMachine machine;
  private final AgreementSettings settings;
  private final AppliedState applied;
  private final EntrySender sender;
  private final ProposalBatch proposals;
  private RoleState role = new FollowerState();
  private long lastLeaderContact;
  private final ElectionTimer electionTimer;
  private Disposable heartbeatTimer = () -> {};
  private final SoonRound soonRound;
  private boolean stopped;

  /**
   * Creates a node over an opened log that holds an identity.
   *
   * @param worker worker on which all methods run
   * @param network way to the other controllers
   * @param log durable log
   * @param machine receives committed commands
   * @param settings timing
   * @param random source of election timeouts
   */
  public AgreementNode(
      Worker worker,
      AgreementNetwork network,
      RecordLog log,
      StateMachine machine,
      AgreementSettings settings,
      RandomGenerator random) {
    this.worker = worker;
    this.network = network;
    this.log = log;
    this.machine = machine;
    this.settings = settings;
    this.electionTimer = new ElectionTimer(worker, settings, random, this::onElectionTimeout);
    this.applied = new AppliedState(log, machine, settings.snapshotEvery());
    this.soonRound = new SoonRound(worker, this::startRoundSoon);
    this.proposals = new ProposalBatch(worker, this::appendProposed);
    this.sender = new EntrySender(log, network, settings.entriesPerAppend());
  }

  /** Restores the state machine and starts taking part. */
  public void start() {
    applied.restore();
    lastLeaderContact = worker.now() - settings.electionTimeoutMillis();
    electionTimer.startFirst();
  }

  /** Stops all timers; the node neither sends nor answers any more. */
  public void stop() {
    stopped = true;
    electionTimer.stop();
    heartbeatTimer.dispose();
  }

  /**
   * Returns this controller's identity.
   *
   * @return {@code name@disk}
   */
  public String identity() {
    return log.quorumState().identity();
  }

  /**
   * Tells whether this controller leads and knows all that earlier leaders committed.
   *
   * @return true for a leader that can serve
   */
  public boolean isLeader() {
    return role instanceof LeaderState leader && leader.isAnnounced();
  }

  /**
   * Returns the current leader.
   *
   * @return its identity if known
   */
  public Optional<String> leader() {
    if (role instanceof LeaderState) {
      return Optional.of(identity());
    }
    return role instanceof FollowerState follower
        ? Optional.ofNullable(follower.leader())
        : Optional.empty();
  }

  /**
   * Returns the term.
   *
   * @return highest term seen
   */
  public long term() {
    return log.quorumState().term();
  }

  /**
   * Returns the commit index.
   *
   * @return index of the last entry known to be committed
   */
  public long commitIndex() {
    return applied.commitIndex();
  }

  /**
   * Returns the voter set that is agreed on. It is what others are told: who waits until a
   * controller that lost its disk votes again may take the next machine from then on, and a change
   * of voters that only the leader has would be lost with it.
   *
   * @return voters and learners
   */
  public VoterSet voters() {
    return log.votersAt(applied.commitIndex());
  }

  /** The voter set by which this controller counts: the newest in the log, committed or not. */
  private VoterSet votersInForce() {
    return log.voters();
  }

  /**
   * Appends a command to the log; it takes effect when it is applied. Commands that are proposed
   * within one turn of the worker share one synced write. A command is lost without a word when the
   * leadership ends before.
   *
   * @param command encoded command
   */
  public void propose(byte[] command) {
    if (!isLeader()) {
      throw new StreamcourseException(
          ErrorCode.NODE_NOT_SERVING, "propose", leader().orElse(""), "not the leader");
    }
    proposals.add(command);
  }

  private void appendProposed(List<byte[]> commands) {
    if (isLeader() && !stopped) {
      appendOwn(LogEntry.Kind.COMMAND, commands);
    }
  }

  /**
   * Runs a task once a majority has confirmed, after this call, that this controller still leads.
   * The task is dropped when the leadership ends before.
   *
   * @param task what to run
   * @param soon whether it gets a round of its own, shared with all such tasks of a short while, in
   *     place of the next heartbeat's
   */
  public void whenLeadershipConfirmed(Runnable task, boolean soon) {
    if (role instanceof LeaderState leader && leader.isAnnounced()) {
      leader.waitForNextRound(task);
      if (votersInForce().voters().size() == 1) {
        startRound(leader);
      } else if (soon) {
        soonRound.request();
      }
    }
  }

  private void startRoundSoon() {
    if (!stopped && role instanceof LeaderState leader) {
      startRound(leader);
    }
  }

  /**
   * Handles a message from another controller.
   *
   * @param message what arrived
   */
  public void receive(AgreementMessage message) {
    if (stopped) {
      return;
    }
    if (message instanceof VoteRequest request) {
      onVoteRequest(request);
      return;
    }
    if (message instanceof JoinRequest request) {
      onJoinRequest(request);
      return;
    }
    if (message.term() > term() && !message.isProvisional()) {
      becomeFollower(message.term(), null);
    }
    if (message instanceof VoteResponse response) {
      onVoteResponse(response);
    } else if (message instanceof AppendRequest request) {
      onAppendRequest(request);
    } else if (message instanceof SnapshotRequest request) {
      onSnapshotRequest(request);
    } else if (message instanceof AppendResponse response) {
      onAppendResponse(response);
    }
  }

  // ---- elections ----

  private void onElectionTimeout() {
    if (stopped || role instanceof LeaderState) {
      return;
    }
    if (votersInForce().voters().contains(identity())) {
      campaign(true);
    }
    electionTimer.startNextTry();
  }

  private void campaign(boolean preVote) {
    long requestedTerm = term() + 1;
    if (!preVote) {
      log.saveQuorumState(new QuorumState(identity(), requestedTerm, identity()));
    }
    CandidateState candidate = new CandidateState(preVote, requestedTerm);
    role = candidate;
    VoteRequest request =
        new VoteRequest(identity(), requestedTerm, log.lastIndex(), log.lastTerm(), preVote);
    for (String voter : votersInForce().voters()) {
      if (!voter.equals(identity())) {
        network.send(voter, request);
      }
    }
    countVote(candidate, identity());
  }

  private void onVoteRequest(VoteRequest request) {
    if (hearsLeader()) {
      return;
    }
    if (!request.preVote() && request.term() > term()) {
      becomeFollower(request.term(), null);
    }
    boolean granted =
        log.isNoLaterThan(request.lastTerm(), request.lastIndex()) && mayVoteFor(request);
    if (granted && !request.preVote()) {
      log.saveQuorumState(new QuorumState(identity(), term(), request.from()));
      electionTimer.restart();
    }
    network.send(
        request.from(),
        new VoteResponse(identity(), term(), request.term(), granted, request.preVote()));
  }

  private boolean mayVoteFor(VoteRequest request) {
    if (request.preVote()) {
      return request.term() > term();
    }
    return log.quorumState().mayVote(request.term(), request.from());
  }

  private boolean hearsLeader() {
    return role instanceof LeaderState
        || worker.now() - lastLeaderContact < settings.electionTimeoutMillis();
  }

  private void onVoteResponse(VoteResponse response) {
    if (role instanceof CandidateState candidate
        && response.granted()
        && response.preVote() == candidate.isPreVote()
        && response.requestTerm() == candidate.requestedTerm()) {
      countVote(candidate, response.from());
    }
  }

  private void countVote(CandidateState candidate, String voter) {
    if (!candidate.grant(voter, votersInForce())) {
      return;
    }
    if (candidate.isPreVote()) {
      campaign(false);
    } else {
      becomeLeader();
    }
  }

  private void becomeLeader() {
    LOG.info("leads term {} as {}", term(), identity());
    electionTimer.stop();
    electionTimer.leaderHeard();
    LeaderState leader = new LeaderState(log.lastIndex() + 1);
    role = leader;
    leader.follow(votersInForce().all(), identity(), worker.now());
    appendOwn(LogEntry.Kind.NO_OP, List.of(new byte[0]));
    heartbeatTimer = worker.repeat(settings.heartbeatMillis(), this::onHeartbeat);
  }

  private void becomeFollower(long newTerm, String leaderIdentity) {
    boolean led = role instanceof LeaderState leader && leader.isAnnounced();
    heartbeatTimer.dispose();
    if (newTerm > term()) {
      log.saveQuorumState(new QuorumState(identity(), newTerm, ""));
    }
    FollowerState follower = new FollowerState();
    follower.follow(leaderIdentity);
    role = follower;
    electionTimer.restart();
    if (led) {
      LOG.info("no longer leads; term is {}", term());
      machine.leadershipEnded();
    }
  }

  // ---- leading ----

  private void onHeartbeat() {
    if (!(role instanceof LeaderState leader)) {
      return;
    }
    long silence =
        worker.now() - leader.majorityHeardMillis(votersInForce(), identity(), worker.now());
    if (silence > settings.electionTimeoutMillis()) {
      LOG.warn("steps down: no majority heard for {} ms", silence);
      becomeFollower(term(), null);
      return;
    }
    startRound(leader);
    if (leader.isAnnounced()) {
      VoterChanges.next(log, votersInForce(), applied.commitIndex(), leader, worker.now(), settings)
          .ifPresent(this::proposeVoters);
    }
  }

  private void startRound(LeaderState leader) {
    leader.startRound();
    sendToAll(leader);
    runConfirmed(leader);
  }

  private void appendOwn(LogEntry.Kind kind, List<byte[]> payloads) {
    LeaderState leader = (LeaderState) role;
    log.appendNew(term(), kind, payloads);
    sendToAll(leader);
    advanceCommit(leader);
  }

  private void sendToAll(LeaderState leader) {
    for (String identity : votersInForce().all()) {
      if (!identity.equals(identity())) {
        sendEntries(leader, identity);
      }
    }
  }

  private void sendEntries(LeaderState leader, String identity) {
    LeaderState.Progress progress = leader.progressOf(identity, log.lastIndex(), worker.now());
    sender.send(identity, progress, term(), applied.commitIndex(), leader.round());
  }

  private void onAppendResponse(AppendResponse response) {
    if (!(role instanceof LeaderState leader) || response.term() != term()) {
      return;
    }
    LeaderState.Progress progress =
        leader.progressOf(response.from(), log.lastIndex(), worker.now());
    progress.lastHeardMillis = worker.now();
    progress.ackedRound = Math.max(progress.ackedRound, response.round());
    if (response.success()) {
      progress.matched(response.matchIndex());
      advanceCommit(leader);
      if (role == leader && progress.nextIndex <= log.lastIndex()) {
        sendEntries(leader, response.from());
      }
    } else if (progress.denied(response.matchIndex(), response.round(), leader.round())) {
      sendEntries(leader, response.from());
    }
    if (role == leader) {
      runConfirmed(leader);
    }
  }

  private void advanceCommit(LeaderState leader) {
    long index = leader.majorityMatch(votersInForce(), identity(), log.lastIndex());
    if (index > applied.commitIndex() && log.termAt(index) == term()) {
      applied.commitTo(index);
    }
    if (applied.commitIndex() >= leader.termStartIndex() && role == leader && leader.announce()) {
      machine.leadershipStarted(term());
    }
  }

  private void runConfirmed(LeaderState leader) {
    leader.confirmedTasks(votersInForce(), identity()).forEach(Runnable::run);
  }

  // ---- membership ----

  private void onJoinRequest(JoinRequest request) {
    if (role instanceof LeaderState leader && !votersInForce().all().contains(request.from())) {
      leader.requestJoin(request.from());
    }
  }

  /**
   * Changes the voters. Between the steps of a replacement there is one voter fewer, and the loss
   * of a leader that alone has the next step would leave no majority for good. So a change goes out
   * with all that its receivers have not acknowledged: each can take it in by itself, and needs
   * nothing more from the leader. Such changes are few.
   */
  private void proposeVoters(VoterSet next) {
    LOG.info("changes voters to {} with learners {}", next.voters(), next.learners());
    ((LeaderState) role).sendUnacknowledgedAgain();
    appendOwn(LogEntry.Kind.VOTERS, List.of(VoterSetCodec.encode(next)));
  }

  // ---- following ----

  private void onAppendRequest(AppendRequest request) {
    if (request.term() < term()) {
      answer(request.from(), false, log.lastIndex(), request.round());
      return;
    }
    acceptLeader(request.from());
    if (request.previousIndex() < log.snapshotIndex()) {
      answer(
          request.from(),
          true,
          Math.min(log.snapshotIndex(), applied.commitIndex()),
          request.round());
      return;
    }
    if (log.termAt(request.previousIndex()) != request.previousTerm()) {
      long tryBefore = Math.min(request.previousIndex() - 1, log.lastIndex());
      answer(request.from(), false, tryBefore, request.round());
      return;
    }
    log.appendMissing(request.entries());
    long matched = request.previousIndex() + request.entries().size();
    answer(request.from(), true, matched, request.round());
    applied.commitTo(Math.min(request.commitIndex(), matched));
  }

  private void onSnapshotRequest(SnapshotRequest request) {
    if (request.term() < term()) {
      answer(request.from(), false, log.lastIndex(), request.round());
      return;
    }
    acceptLeader(request.from());
    Snapshot snapshot = request.snapshot();
    applied.install(snapshot);
    answer(request.from(), true, snapshot.lastIndex(), request.round());
  }

  private void acceptLeader(String identity) {
    electionTimer.leaderHeard();
    lastLeaderContact = worker.now();
    if (role instanceof FollowerState follower) {
      follower.follow(identity);
      electionTimer.restart();
    } else {
      becomeFollower(term(), identity);
    }
  }

  private void answer(String to, boolean success, long matchIndex, long round) {
    network.send(to, new AppendResponse(identity(), term(), success, matchIndex, round));
  }
}
