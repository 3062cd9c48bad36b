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
 * A controller's replica of the Raft log: elections, replication, commit and voter changes.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>A term has at most one leader: a vote is synced to disk before it is sent.
 *   <li>A controller acknowledges an entry only after syncing it. An entry is committed once a
 *       majority of the voters has synced it and it, or a later one, is of the leader's own term.
 *   <li>Voters change one at a time, never while an earlier change is uncommitted.
 *   <li>A pre-vote precedes each election, so that a controller returning from a network partition
 *       does not disrupt a working leader. A leader without responses from a majority of the voters
 *       for an election timeout steps down, and so does one that cannot store an entry.
 * </ul>
 *
 * All methods run on the controller's worker.
 */
public final class AgreementNode {
  private static final Logger LOG = LoggerFactory.getLogger(AgreementNode.class);

  private final Worker worker;
  private final AgreementNetwork network;
  private final RecordLog log;
  private final StateMachine stateMachine;
  private final AgreementSettings settings;
  private final AppliedState applied;
  private final EntrySender sender;
  private final ProposalBatch proposals;
  private RoleState role = new FollowerState();
  private long lastLeaderContact;
  private final ElectionTimer electionTimer;
  private Disposable heartbeatTimer = () -> {};
  private final ExpeditedRound expeditedRound;
  private boolean stopped;

  /**
   * Creates a node over an opened log that contains an identity.
   *
   * @param worker worker on which all methods run
   * @param network sends messages to the other controllers
   * @param log durable log
   * @param stateMachine receives committed commands
   * @param settings timing and limits
   * @param random source of election timeouts
   */
  public AgreementNode(
      Worker worker,
      AgreementNetwork network,
      RecordLog log,
      StateMachine stateMachine,
      AgreementSettings settings,
      RandomGenerator random) {
    this.worker = worker;
    this.network = network;
    this.log = log;
    this.stateMachine = stateMachine;
    this.settings = settings;
    this.electionTimer = new ElectionTimer(worker, settings, random, this::onElectionTimeout);
    this.applied = new AppliedState(log, stateMachine, settings);
    this.expeditedRound = new ExpeditedRound(worker, this::startExpeditedRound);
    this.proposals =
        new ProposalBatch(worker, this::appendProposals, stateMachine::proposalsFailed);
    this.sender = new EntrySender(log, network, settings);
  }

  /** Restores the state machine and starts the election timer. */
  public void start() {
    applied.restore();
    lastLeaderContact = worker.now() - settings.electionTimeoutMillis();
    electionTimer.startInitial();
  }

  /** Stops all timers; the node ignores all messages from then on. */
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
   * Returns whether this controller is the leader and has applied all entries that earlier leaders
   * committed.
   *
   * @return true for a leader that can serve requests
   */
  public boolean isLeader() {
    return role instanceof LeaderState leader && leader.isAnnounced();
  }

  /**
   * Returns the current leader.
   *
   * @return leader's identity, if known
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
   * Returns the current term.
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
   * Returns the committed voter set, which is the one shown to operators. An operator who waits
   * until a controller that lost its disk is a voter again may stop the next controller from then
   * on; an uncommitted change that only the leader has would be lost together with the leader.
   *
   * @return voters and learners
   */
  public VoterSet voters() {
    return log.votersAt(applied.commitIndex());
  }

  /** Returns the newest voter set in the log, committed or not: majorities are counted by it. */
  private VoterSet latestVoters() {
    return log.voters();
  }

  /**
   * Appends a command to the log; it takes effect when it is applied. Commands that are proposed
   * within one task of the worker share one synced write. If leadership ends before the command is
   * committed, the command may be lost; the caller gets no notification.
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

  private void appendProposals(List<byte[]> commands) {
    if (isLeader() && !stopped) {
      appendAsLeader(LogEntry.Kind.COMMAND, commands);
    }
  }

  /**
   * Runs a task once a majority of the voters has confirmed, in a round that starts after this
   * call, that this controller still leads. The task is dropped if leadership ends first.
   *
   * @param task what to run
   * @param expedite true to start a round before the next heartbeat; see {@link ExpeditedRound}
   */
  public void whenLeadershipConfirmed(Runnable task, boolean expedite) {
    if (role instanceof LeaderState leader && leader.isAnnounced()) {
      leader.addAfterNextRound(task);
      if (latestVoters().voters().size() == 1) {
        startRound(leader);
      } else if (expedite) {
        expeditedRound.request();
      }
    }
  }

  private void startExpeditedRound() {
    if (!stopped && role instanceof LeaderState leader) {
      startRound(leader);
    }
  }

  /**
   * Handles a message from another controller.
   *
   * @param message received message
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
    electionTimer.startRetry();
    if (latestVoters().voters().contains(identity())) {
      campaign(true);
    }
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
    for (String voter : latestVoters().voters()) {
      if (!voter.equals(identity())) {
        network.send(voter, request);
      }
    }
    countVote(candidate, identity());
  }

  private void onVoteRequest(VoteRequest request) {
    if (hasActiveLeader()) {
      return;
    }
    if (!request.preVote() && request.term() > term()) {
      becomeFollower(request.term(), null);
    }
    boolean granted = log.mayGrant(request);
    if (granted && !request.preVote()) {
      log.saveQuorumState(new QuorumState(identity(), term(), request.from()));
      electionTimer.restart();
    }
    network.send(
        request.from(),
        new VoteResponse(identity(), term(), request.term(), granted, request.preVote()));
  }

  private boolean hasActiveLeader() {
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
    if (!candidate.addVote(voter, latestVoters())) {
      return;
    }
    if (candidate.isPreVote()) {
      campaign(false);
    } else {
      becomeLeader();
    }
  }

  private void becomeLeader() {
    LOG.info("became leader of term {} as {}", term(), identity());
    electionTimer.stop();
    electionTimer.leaderSeen();
    LeaderState leader = new LeaderState(log.lastIndex() + 1);
    role = leader;
    leader.track(latestVoters().all(), identity(), worker.now());
    heartbeatTimer = worker.repeat(settings.heartbeatMillis(), this::onHeartbeat);
    appendAsLeader(LogEntry.Kind.NO_OP, List.of(new byte[0]));
  }

  private void becomeFollower(long newTerm, String leaderIdentity) {
    boolean wasLeader = role instanceof LeaderState leader && leader.isAnnounced();
    heartbeatTimer.dispose();
    FollowerState follower = new FollowerState();
    follower.setLeader(leaderIdentity);
    role = follower;
    electionTimer.restart();
    if (wasLeader) {
      LOG.info("lost leadership: is now a follower in term {}", newTerm);
      stateMachine.leadershipEnded();
    }
    if (newTerm > term()) {
      log.saveQuorumState(new QuorumState(identity(), newTerm, ""));
    }
  }

  // ---- leader ----

  private void onHeartbeat() {
    if (!(role instanceof LeaderState leader)) {
      return;
    }
    long elapsed =
        worker.now() - leader.majorityResponseMillis(latestVoters(), identity(), worker.now());
    if (elapsed > settings.electionTimeoutMillis()) {
      LOG.warn("resigned leadership: no majority responded for {} ms", elapsed);
      becomeFollower(term(), null);
      return;
    }
    startRound(leader);
    if (leader.isAnnounced()) {
      VoterChanges.next(log, latestVoters(), applied.commitIndex(), leader, worker.now(), settings)
          .ifPresent(this::proposeVoters);
    }
  }

  private void startRound(LeaderState leader) {
    leader.startRound();
    sendToAll(leader);
    runConfirmedTasks(leader);
  }

  private void appendAsLeader(LogEntry.Kind kind, List<byte[]> payloads) {
    LeaderState leader = (LeaderState) role;
    try {
      log.appendNew(term(), kind, payloads);
    } catch (StreamcourseException e) {
      LOG.warn("resigned leadership: entries cannot be stored");
      becomeFollower(term(), null);
      electionTimer.startAfterOthers();
      throw e;
    }
    sendToAll(leader);
    advanceCommit(leader);
  }

  private void sendToAll(LeaderState leader) {
    for (String identity : latestVoters().all()) {
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
    progress.lastResponseMillis = worker.now();
    progress.acknowledgedRound = Math.max(progress.acknowledgedRound, response.round());
    if (response.success()) {
      progress.acknowledged(response.matchIndex());
      advanceCommit(leader);
      if (role == leader && progress.nextIndex <= log.lastIndex()) {
        sendEntries(leader, response.from());
      }
    } else if (progress.rejected(response.matchIndex(), response.round(), leader.round())) {
      sendEntries(leader, response.from());
    }
    if (role == leader) {
      runConfirmedTasks(leader);
    }
  }

  private void advanceCommit(LeaderState leader) {
    long index = leader.majorityMatchIndex(latestVoters(), identity(), log.lastIndex());
    if (index > applied.commitIndex() && log.termAt(index) == term()) {
      applied.commitTo(index);
    }
    if (applied.commitIndex() >= leader.termStartIndex() && role == leader && leader.announce()) {
      stateMachine.leadershipStarted(term());
    }
  }

  private void runConfirmedTasks(LeaderState leader) {
    leader.takeConfirmedTasks(latestVoters(), identity()).forEach(Runnable::run);
  }

  // ---- membership ----

  private void onJoinRequest(JoinRequest request) {
    if (role instanceof LeaderState leader && !latestVoters().all().contains(request.from())) {
      leader.addJoinRequest(request.from());
    }
  }

  /**
   * Proposes a voter set. Between the two steps of a replacement there is one voter fewer, and
   * losing a leader that alone has the second step would leave the voters without a majority for
   * good. The change is therefore sent with all unacknowledged entries, so that a receiver can
   * append it without another message from the leader. Voter changes are rare.
   */
  private void proposeVoters(VoterSet next) {
    LOG.info("proposing voters {} with learners {}", next.voters(), next.learners());
    ((LeaderState) role).rewindToAcknowledged();
    appendAsLeader(LogEntry.Kind.VOTERS, List.of(VoterSetCodec.encode(next)));
  }

  // ---- follower ----

  private void onAppendRequest(AppendRequest request) {
    if (request.term() < term()) {
      respond(request.from(), false, log.lastIndex(), AppendResponse.NO_ROUND);
      return;
    }
    acceptLeader(request.from());
    if (request.previousIndex() < log.snapshotIndex()) {
      long covered = Math.min(log.snapshotIndex(), applied.commitIndex());
      respond(request.from(), true, covered, request.round());
      return;
    }
    if (log.termAt(request.previousIndex()) != request.previousTerm()) {
      long retryBefore = Math.min(request.previousIndex() - 1, log.lastIndex());
      respond(request.from(), false, retryBefore, request.round());
      return;
    }
    log.appendMissing(request.entries());
    long matched = request.previousIndex() + request.entries().size();
    respond(request.from(), true, matched, request.round());
    applied.commitTo(Math.min(request.commitIndex(), matched));
  }

  private void onSnapshotRequest(SnapshotRequest request) {
    if (request.term() < term()) {
      respond(request.from(), false, log.lastIndex(), AppendResponse.NO_ROUND);
      return;
    }
    acceptLeader(request.from());
    Snapshot snapshot = request.snapshot();
    applied.install(snapshot);
    respond(request.from(), true, snapshot.lastIndex(), request.round());
  }

  private void acceptLeader(String identity) {
    electionTimer.leaderSeen();
    lastLeaderContact = worker.now();
    if (role instanceof FollowerState follower) {
      follower.setLeader(identity);
      electionTimer.restart();
    } else {
      becomeFollower(term(), identity);
    }
  }

  private void respond(String to, boolean success, long matchIndex, long round) {
    network.send(to, new AppendResponse(identity(), term(), success, matchIndex, round));
  }
}
