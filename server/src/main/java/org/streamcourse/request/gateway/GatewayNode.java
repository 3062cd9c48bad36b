package org.streamcourse.request.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.streamcourse.connection.backend.MemberConnector;
import org.streamcourse.connection.backend.PoolSettings;
import org.streamcourse.connection.peer.PeerNetwork;
import org.streamcourse.process.Worker;
import org.streamcourse.request.StreamMessage.AwaitReceived;
import org.streamcourse.request.StreamMessage.Broken;
import org.streamcourse.request.StreamMessage.CancelUnit;
import org.streamcourse.request.StreamMessage.CloseStream;
import org.streamcourse.request.StreamMessage.Credit;
import org.streamcourse.request.StreamMessage.KeepStreams;
import org.streamcourse.request.StreamMessage.NextUnit;
import org.streamcourse.request.StreamMessage.OpenStream;
import org.streamcourse.request.StreamMessage.PositionReply;
import org.streamcourse.request.StreamMessage.PositionRequest;
import org.streamcourse.request.StreamMessage.ReceivedReport;
import org.streamcourse.request.StreamMessage.Refusal;
import org.streamcourse.request.StreamMessage.Refused;
import org.streamcourse.version.control.ControlMessage.MemberOrder;
import org.streamcourse.version.control.ControlSettings;
import org.streamcourse.version.control.MemberStatus;
import org.streamcourse.version.control.NodeAgent;
import org.streamcourse.version.image.Allowance;
import org.streamcourse.version.image.ClusterImage;
import org.streamcourse.version.image.GroupImage;
import org.streamcourse.version.image.MemberImage;
import org.streamcourse.version.image.TermPosition;

/**
 * All gateways of this node and their streams. Messages are handed to the worker of the gateway or
 * stream that they concern; the two tables here are concurrent maps and need no lock.
 */
public final class GatewayNode {
  private record StreamKey(String peer, long streamId) {}

  private static final long UNKNOWN_MEMBER_RETRY_MILLIS = 50;
  private static final long LAPSE_CHECK_MILLIS = 200;

  private final Supplier<Worker> workers;
  private final Worker agentWorker;
  private final PeerNetwork network;
  private final NodeAgent agent;
  private final MemberConnector connector;
  private final GatewaySettings settings;
  private final PoolSettings poolSettings;
  private final ControlSettings controlSettings;
  private final Map<String, MemberGateway> gateways = new ConcurrentHashMap<>();
  private final Map<StreamKey, GatewayStream> streams = new ConcurrentHashMap<>();
  private final Map<String, Long> peersHeardAt = new ConcurrentHashMap<>();
  private final Set<String> withdrawn = new TreeSet<>();
  private final AtomicLong requestIds = new AtomicLong();
  private ClusterImage previousImage = ClusterImage.EMPTY;

  /** Whether connections are held; not before the image of the last run is confirmed. */
  private boolean holding;

  /**
   * Creates the gateways' node part; it listens to the agent's images.
   *
   * @param workers gives a worker to each gateway
   * @param agentWorker the agent's worker
   * @param network way to other nodes
   * @param agent this node's agent
   * @param connector opens connections to members
   * @param settings gateway settings
   * @param poolSettings pool settings
   * @param controlSettings control timing
   */
  public GatewayNode(
      Supplier<Worker> workers,
      Worker agentWorker,
      PeerNetwork network,
      NodeAgent agent,
      MemberConnector connector,
      GatewaySettings settings,
      PoolSettings poolSettings,
      ControlSettings controlSettings) {
    this.workers = workers;
    this.agentWorker = agentWorker;
    this.network = network;
    this.agent = agent;
    this.connector = connector;
    this.settings = settings;
    this.poolSettings = poolSettings;
    this.controlSettings = controlSettings;
    agent.onImage(this::imageChanged);
    agent.onConfirmed(this::confirmed);
  }

  /** Starts the signs of life for open streams. */
  public void start() {
    agentWorker.repeat(settings.keepAliveMillis(), this::keepStreams);
    agentWorker.repeat(LAPSE_CHECK_MILLIS, this::checkLapse);
  }

  /** Closes all connections to members. */
  public void stop() {
    gateways.values().forEach(each -> each.worker().execute(each::stop));
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
   * Returns the number of connections to members, those of monitors left out.
   *
   * @return connections that are open, being opened or being ended
   */
  public int connections() {
    return gateways.values().stream().mapToInt(each -> each.pool().size()).sum();
  }

  /**
   * Tells whether the node may stop without cutting anything.
   *
   * @return true when it has neither gateways nor open streams
   */
  public boolean isDrained() {
    return gateways.isEmpty() && streams.isEmpty();
  }

  /**
   * Returns the gateways.
   *
   * @return gateways by {@code group/member}
   */
  public Map<String, MemberGateway> gateways() {
    return Map.copyOf(gateways);
  }

  // ---- allowances ----

  /** The allowances of the image are this node's own: takes them up if they had lapsed. */
  private void confirmed() {
    if (!holding) {
      holding = true;
      previousImage = ClusterImage.EMPTY;
      imageChanged(agent.image());
    }
  }

  /** Ends all connections in time, before the controllers give this node's parts to others. */
  private void checkLapse() {
    if (holding && !agent.holdsAllowances()) {
      holding = false;
      streams.values().forEach(each -> each.worker().execute(each::allowanceLapsed));
      gateways.forEach(
          (key, gateway) -> {
            gateway.worker().execute(gateway::lapse);
            withdrawReport(key);
          });
    }
  }

  private void withdrawReport(String key) {
    int slash = key.lastIndexOf('/');
    agent.withdrawReport(key.substring(0, slash), key.substring(slash + 1));
  }

  // ---- images ----

  private void imageChanged(ClusterImage image) {
    if (!holding) {
      return;
    }
    Set<String> wanted = new TreeSet<>();
    AllowanceTally tally = new AllowanceTally(image.version());
    for (GroupImage group : groupsToLookAt(image)) {
      for (MemberImage member : group.members()) {
        Allowance allowance = member.allowanceOf(agent.self().name());
        if (allowance != null) {
          wanted.add(key(group.name(), member.name()));
          updateGateway(group, member, allowance, tally);
        }
      }
    }
    previousImage = image;
    for (String key : List.copyOf(gateways.keySet())) {
      if (!wanted.contains(key)) {
        MemberGateway gone = gateways.remove(key);
        gone.worker().execute(gone::stop);
        withdrawReport(key);
      }
    }
    tally.allAsked();
  }

  /**
   * Groups that have changed since the image before, and those that this node is a gateway of. The
   * others, nearly all at full size, are told by being the same object as before.
   */
  private Collection<GroupImage> groupsToLookAt(ClusterImage image) {
    Map<String, GroupImage> found = new TreeMap<>();
    for (GroupImage group : image.groups().values()) {
      if (previousImage.groups().get(group.name()) != group) {
        found.put(group.name(), group);
      }
    }
    for (String key : gateways.keySet()) {
      String name = key.substring(0, key.lastIndexOf('/'));
      image.group(name).ifPresent(group -> found.put(name, group));
    }
    return found.values();
  }

  private void updateGateway(
      GroupImage group, MemberImage member, Allowance allowance, AllowanceTally tally) {
    tally.ask();
    String key = key(group.name(), member.name());
    if (allowance.connections() == 0) {
      withdrawn.add(key);
    } else if (withdrawn.remove(key)) {
      // A gateway whose part was withdrawn has stopped its monitor and does not start again.
      gateways.remove(key);
    }
    MemberGateway gateway = gateways.computeIfAbsent(key, any -> newGateway(group, member));
    gateway.worker().execute(() -> gateway.update(group, member, allowance, tally::held));
  }

  private MemberGateway newGateway(GroupImage group, MemberImage member) {
    MemberGateway gateway =
        new MemberGateway(
            workers.get(),
            agentWorker,
            network,
            agent,
            connector,
            settings,
            poolSettings,
            requestIds::incrementAndGet,
            group,
            member);
    gateway.worker().execute(gateway::start);
    return gateway;
  }

  /** Counts the gateways that keep the allowances of a version. */
  private final class AllowanceTally {
    private final long version;
    private int missing = 1;

    AllowanceTally(long version) {
      this.version = version;
    }

    synchronized void ask() {
      missing++;
    }

    void allAsked() {
      held();
    }

    synchronized void held() {
      missing--;
      if (missing == 0) {
        agentWorker.execute(() -> agent.allowancesHeld(version));
      }
    }
  }

  private static String key(String group, String member) {
    return group + '/' + member;
  }

  // ---- messages ----

  /**
   * Handles a message of an edge, of another gateway or of the leader.
   *
   * @param peer sender
   * @param message what arrived
   * @return false when the message is none of a gateway's
   */
  public boolean receive(String peer, Object message) {
    if (message instanceof OpenStream open) {
      openStream(peer, open);
    } else if (message instanceof NextUnit next) {
      onStream(peer, next.streamId(), stream -> stream.next(next));
    } else if (message instanceof Credit credit) {
      onStream(peer, credit.streamId(), stream -> stream.credit(credit.bytes()));
    } else if (message instanceof CloseStream close) {
      onStream(peer, close.streamId(), GatewayStream::abandon);
    } else if (message instanceof CancelUnit cancel) {
      onStream(peer, cancel.streamId(), GatewayStream::cancel);
    } else if (message instanceof KeepStreams) {
      peersHeardAt.put(peer, agentWorker.now());
      return false;
    } else {
      return receiveAboutMember(peer, message);
    }
    peersHeardAt.put(peer, agentWorker.now());
    return true;
  }

  private boolean receiveAboutMember(String peer, Object message) {
    if (message instanceof PositionRequest request) {
      if (!onGateway(
          request.group(), request.member(), each -> each.positionRequested(peer, request))) {
        network.send(
            peer,
            new PositionReply(request.requestId(), request.member(), false, MemberStatus.UNKNOWN));
      }
    } else if (message instanceof AwaitReceived request) {
      onGateway(request.group(), request.member(), each -> each.receivedAwaited(peer, request));
    } else if (message instanceof ReceivedReport report) {
      gateways.forEach(
          (key, gateway) -> {
            if (key.startsWith(report.group() + '/')) {
              gateway.worker().execute(() -> gateway.receivedReported(report));
            }
          });
    } else if (message instanceof PositionReply reply) {
      gateways.values().forEach(each -> each.worker().execute(() -> each.positionReplied(reply)));
      return false;
    } else if (message instanceof MemberOrder order) {
      long holdMillis = controlSettings.holdWritesMillis();
      onGateway(order.group(), order.member(), each -> each.ordered(peer, order, holdMillis));
    } else {
      return false;
    }
    return true;
  }

  private boolean onGateway(String group, String member, Consumer<MemberGateway> task) {
    MemberGateway gateway = gateways.get(key(group, member));
    if (gateway == null) {
      return false;
    }
    gateway.worker().execute(() -> task.accept(gateway));
    return true;
  }

  private void openStream(String peer, OpenStream open) {
    MemberGateway gateway = gateways.get(key(open.group(), open.member()));
    if (gateway == null) {
      network.send(
          peer,
          new Refused(
              open.streamId(),
              Refusal.NOT_SERVING,
              TermPosition.ZERO,
              UNKNOWN_MEMBER_RETRY_MILLIS));
      return;
    }
    StreamKey key = new StreamKey(peer, open.streamId());
    GatewayStream stream =
        new GatewayStream(peer, open, gateway, network, () -> streams.remove(key));
    streams.put(key, stream);
    gateway.worker().execute(stream::start);
  }

  private void onStream(String peer, long streamId, Consumer<GatewayStream> task) {
    GatewayStream stream = streams.get(new StreamKey(peer, streamId));
    if (stream != null) {
      stream.worker().execute(() -> task.accept(stream));
    }
  }

  /**
   * Rolls back what an edge had open, since the link to it broke.
   *
   * @param peer the edge
   */
  public void linkLost(String peer) {
    streams.values().stream()
        .filter(each -> each.peer().equals(peer))
        .forEach(each -> each.worker().execute(() -> breakOff(each)));
  }

  /** The edge may have heard of the link's end before it opened the stream on another. */
  private void breakOff(GatewayStream stream) {
    String detail = "link to " + stream.peer() + " broke";
    network.send(stream.peer(), new Broken(stream.id(), "link", detail));
    stream.abandon();
  }

  private void abandon(GatewayStream stream) {
    stream.worker().execute(stream::abandon);
  }

  /** Shows the edges that their streams are still worked on, and drops streams of silent edges. */
  private void keepStreams() {
    long now = agentWorker.now();
    Map<String, List<Long>> byPeer = new TreeMap<>();
    for (GatewayStream stream : streams.values()) {
      long heardAt = peersHeardAt.getOrDefault(stream.peer(), now);
      if (now - heardAt > settings.edgeSilenceMillis()) {
        abandon(stream);
      } else {
        byPeer.computeIfAbsent(stream.peer(), any -> new ArrayList<>()).add(stream.id());
      }
    }
    byPeer.forEach((peer, ids) -> network.send(peer, new KeepStreams(ids)));
  }
}
