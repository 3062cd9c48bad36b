package org.streamcourse.request.edge;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.streamcourse.connection.peer.PeerNetwork;
import org.streamcourse.process.FleetKey;
import org.streamcourse.process.LineBudget;
import org.streamcourse.process.Worker;
import org.streamcourse.request.StreamMessage;
import org.streamcourse.request.StreamMessage.Broken;
import org.streamcourse.request.StreamMessage.KeepStreams;
import org.streamcourse.request.StreamMessage.NextUnit;
import org.streamcourse.request.StreamMessage.OpenStream;
import org.streamcourse.request.StreamMessage.Output;
import org.streamcourse.request.StreamMessage.PositionReply;
import org.streamcourse.request.StreamMessage.Refused;
import org.streamcourse.request.StreamMessage.UnitDone;
import org.streamcourse.version.control.NodeAgent;
import org.streamcourse.version.image.ClusterImage;
import org.streamcourse.version.image.GroupImage;
import org.streamcourse.version.image.NodeImage;
import org.streamcourse.version.image.TermPosition;

/**
 * State that all caller sessions of this node share: the routing table, the open streams,
 * observations of members, and counters.
 */
public final class EdgeNode {
  private static final int CHECKS_PER_GRACE_PERIOD = 3;

  /** Failed requests that are logged per second; each writes at most 13 lines. */
  private static final int LOGGED_FAILURES_PER_SECOND = 50;

  private final Worker worker;
  private final PeerNetwork network;
  private final NodeAgent agent;
  private final EdgeSettings settings;
  private final FleetKey fleetKey;
  private final MemberScores scores;
  private final ReadRouter router;

  private final LineBudget failureLogBudget;
  private final AtomicLong sessions = new AtomicLong();
  private final RetryBudget retryBudget = new RetryBudget();
  private final WaitingRequests waiting = new WaitingRequests();
  private final StatementClassifier classifier = new StatementClassifier();
  private final FloorReader floorReader;
  private final RandomGenerator random;
  private final Map<Long, RequestExecutor> streams = new ConcurrentHashMap<>();
  private final AtomicLong streamIds = new AtomicLong();
  private final AtomicLong replicaReads = new AtomicLong();
  private final AtomicLong primaryReads = new AtomicLong();

  /**
   * Creates the edge of this node.
   *
   * @param worker runs the supervision of streams and the search for floors
   * @param network sends messages to gateways
   * @param agent receives images from the controllers
   * @param settings timing
   * @param policy how reads are distributed among members
   * @param fleetKey signs floors
   * @param random source of jitter and of the choice among gateways
   */
  public EdgeNode(
      Worker worker,
      PeerNetwork network,
      NodeAgent agent,
      EdgeSettings settings,
      ReadRouter.Policy policy,
      FleetKey fleetKey,
      RandomGenerator random) {
    this.worker = worker;
    this.network = network;
    this.agent = agent;
    this.settings = settings;
    this.fleetKey = fleetKey;
    this.random = random;
    this.failureLogBudget = new LineBudget(LOGGED_FAILURES_PER_SECOND, worker::now);
    this.scores = new MemberScores(agent.self().placement());
    this.router = new ReadRouter(policy, scores, random);
    this.floorReader = new FloorReader(worker, network, this);
    agent.onImage(waiting::imageChanged);
    streamIds.set(agent.self().lastRequest());
  }

  /** Starts supervision of open streams. */
  public void start() {
    worker.repeat(settings.replacedGraceMillis() / CHECKS_PER_GRACE_PERIOD, this::checkStreams);
    worker.repeat(settings.keepAliveMillis(), this::sendKeepAlives);
  }

  // ---- shared by sessions ----

  /**
   * Returns this node as it is registered with the controllers.
   *
   * @return name and incarnation
   */
  public NodeImage self() {
    return agent.self();
  }

  /**
   * Returns the limit on log lines about failed requests.
   *
   * @return budget that all sessions of this node share
   */
  public LineBudget failureLogBudget() {
    return failureLogBudget;
  }

  /**
   * Returns the number for a new session. The number is part of the request ids that callers
   * receive, so each node counts on its own: its answers must not depend on other nodes in the same
   * process, as in a simulation.
   *
   * @return number that is unique within this incarnation of the node
   */
  public long nextSession() {
    return sessions.incrementAndGet();
  }

  /**
   * Returns the image in force.
   *
   * @return newest image
   */
  public ClusterImage image() {
    return agent.image();
  }

  /**
   * Returns the fleet's key.
   *
   * @return key that signs floors
   */
  public FleetKey fleetKey() {
    return fleetKey;
  }

  /**
   * Returns the classifier.
   *
   * @return classifier with its cache
   */
  public StatementClassifier classifier() {
    return classifier;
  }

  /**
   * Returns whether this node accepts new requests.
   *
   * @return true while the controllers confirm this node
   */
  public boolean isServing() {
    return agent.isConfirmed();
  }

  /**
   * Determines a floor from the log positions of a majority of a group.
   *
   * @param group group's name
   * @param answer receives the floor on the edge's worker
   */
  public void readFloor(String group, Consumer<TermPosition> answer) {
    worker.execute(() -> floorReader.read(group, answer));
  }

  /**
   * Returns the number of reads that replicas answered.
   *
   * @return count since the start
   */
  public long replicaReads() {
    return replicaReads.get();
  }

  /**
   * Returns the number of reads that a primary answered.
   *
   * @return count since the start
   */
  public long primaryReads() {
    return primaryReads.get();
  }

  /**
   * Returns the number of open streams.
   *
   * @return streams
   */
  public int openStreams() {
    return streams.size();
  }

  /**
   * Returns the retry budget.
   *
   * @return budget that all sessions of this node share
   */
  public RetryBudget retryBudget() {
    return retryBudget;
  }

  EdgeSettings settings() {
    return settings;
  }

  PeerNetwork network() {
    return network;
  }

  WaitingRequests waiting() {
    return waiting;
  }

  MemberScores scores() {
    return scores;
  }

  ReadRouter router() {
    return router;
  }

  synchronized long jitter(long boundMillis) {
    return random.nextLong(Math.max(1, boundMillis));
  }

  long openStream(RequestExecutor executor) {
    long id = streamIds.incrementAndGet();
    streams.put(id, executor);
    return id;
  }

  void closeStream(long id) {
    streams.remove(id);
  }

  void countRead(String member, String group) {
    boolean primary = image().group(group).map(each -> each.primary().equals(member)).orElse(false);
    (primary ? primaryReads : replicaReads).incrementAndGet();
  }

  // ---- messages ----

  /**
   * Handles a message of a gateway.
   *
   * @param peer sender
   * @param message what arrived
   */
  public void receive(String peer, Object message) {
    if (message instanceof Output output) {
      dispatch(output.streamId(), output);
    } else if (message instanceof UnitDone done) {
      dispatch(done.streamId(), done);
    } else if (message instanceof Refused refused) {
      dispatch(refused.streamId(), refused);
    } else if (message instanceof Broken broken) {
      dispatch(broken.streamId(), broken);
    } else if (message instanceof PositionReply reply) {
      worker.execute(() -> floorReader.onReply(reply));
    } else if (message instanceof KeepStreams keep) {
      for (long id : keep.streamIds()) {
        onStream(id, RequestExecutor::onKeepAlive);
      }
    }
  }

  private void dispatch(long id, StreamMessage message) {
    onStream(id, executor -> executor.receive(message));
  }

  /** Runs a task on the session's worker unless its executor has switched to another stream. */
  private void onStream(long id, Consumer<RequestExecutor> task) {
    RequestExecutor executor = streams.get(id);
    if (executor != null) {
      executor
          .worker()
          .execute(
              () -> {
                if (streams.get(id) == executor) {
                  task.accept(executor);
                }
              });
    }
  }

  /**
   * Breaks the streams through a gateway after the peer link to it broke.
   *
   * @param peer the gateway's node
   */
  public void linkLost(String peer) {
    streams.forEach(
        (id, executor) -> {
          if (executor.gateway().equals(peer)) {
            onStream(id, each -> each.onBroken("link", "peer link to " + peer + " broke"));
          }
        });
  }

  /**
   * Handles messages that were dropped before they reached a gateway: a stream that was not opened
   * tries its next target, and a stream whose later unit was lost breaks.
   *
   * @param messages the dropped messages
   */
  public void undelivered(List<Object> messages) {
    for (Object message : messages) {
      if (message instanceof OpenStream open) {
        onStream(open.streamId(), RequestExecutor::onUndelivered);
      } else if (message instanceof NextUnit next) {
        onStream(next.streamId(), each -> each.onBroken("link", "the gateway is unreachable"));
      }
    }
  }

  private void checkStreams() {
    ClusterImage image = image();
    streams.forEach(
        (id, executor) -> {
          GroupImage group = image.groups().get(executor.group());
          if (group != null) {
            onStream(id, each -> each.check(group));
          }
        });
  }

  private void sendKeepAlives() {
    Map<String, List<Long>> byPeer = new TreeMap<>();
    streams.forEach(
        (id, executor) ->
            byPeer.computeIfAbsent(executor.gateway(), any -> new ArrayList<>()).add(id));
    byPeer.forEach((peer, ids) -> network.send(peer, new KeepStreams(ids)));
  }
}
