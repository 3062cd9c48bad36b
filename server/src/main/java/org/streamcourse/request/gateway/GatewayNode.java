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
 * All gateways of this node and their streams. Each message is handled on the worker of the gateway
 * or stream that it concerns; the maps of gateways and streams are concurrent and need no lock.
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
  private final Map<String, Long> lastReceivedAt = new ConcurrentHashMap<>();

  /** Keys of the gateways whose latest allowance has no connections. */
  private final Set<String> withdrawn = new TreeSet<>();

  private final AtomicLong requestIds = new AtomicLong();
  private ClusterImage previousImage = ClusterImage.EMPTY;

  /**
   * Whether this node may use its allowances. False after a start until the controllers have
   * confirmed the stored image, and while the allowances have lapsed.
   */
  private boolean mayUseAllowances;

  /**
   * Creates the gateways of this node, which follow the images of the agent.
   *
   * @param workers supplies the worker of each gateway
   * @param agentWorker the agent's worker
   * @param network sends messages to other nodes
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
    requestIds.set(agent.self().lastRequest());
    agent.onImage(this::imageChanged);
    agent.onConfirmed(this::confirmed);
  }

  /** Starts the keep-alive messages for open streams and the check for lapsed allowances. */
  public void start() {
    agentWorker.repeat(settings.keepAliveMillis(), this::sendKeepAlives);
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
   * Returns the number of connections to members, without those of monitors.
   *
   * @return connections that are open, being opened or being ended
   */
  public int connections() {
    return gateways.values().stream().mapToInt(each -> each.pool().size()).sum();
  }

  /**
   * Returns whether the node can stop without interrupting a request.
   *
   * @return true when the node has neither gateways nor open streams
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

  /**
   * Called when the controllers confirm this node: uses the image's allowances, also after a lapse.
   */
  private void confirmed() {
    if (!mayUseAllowances) {
      mayUseAllowances = true;
      previousImage = ClusterImage.EMPTY;
      imageChanged(agent.image());
    }
  }

  /** Ends all connections before the controllers can assign this node's allowances to others. */
  private void checkLapse() {
    if (mayUseAllowances && !agent.holdsAllowances()) {
      mayUseAllowances = false;
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
    if (!mayUseAllowances) {
      return;
    }
    Set<String> wanted = new TreeSet<>();
    AllowanceTally tally = new AllowanceTally(image.version());
    for (GroupImage group : groupsToUpdate(image)) {
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
        MemberGateway removed = gateways.remove(key);
        removed.worker().execute(removed::stop);
        withdrawReport(key);
      }
    }
    tally.allExpected();
  }

  /**
   * Returns the groups that have changed since the previous image, and those with a gateway on this
   * node. An unchanged group, as most are in a large fleet, is the same object in both images.
   */
  private Collection<GroupImage> groupsToUpdate(ClusterImage image) {
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
    tally.expect();
    String key = key(group.name(), member.name());
    if (allowance.connections() == 0) {
      withdrawn.add(key);
    } else if (withdrawn.remove(key)) {
      // A gateway whose allowance was withdrawn has stopped its monitor and does not restart it.
      gateways.remove(key);
    }
    MemberGateway gateway = gateways.computeIfAbsent(key, any -> newGateway(group, member));
    gateway.worker().execute(() -> gateway.update(group, member, allowance, tally::applied));
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

  /** Counts the gateways that still have to apply the allowances of an image version. */
  private final class AllowanceTally {
    private final long version;
    private int pending = 1;

    AllowanceTally(long version) {
      this.version = version;
    }

    synchronized void expect() {
      pending++;
    }

    void allExpected() {
      applied();
    }

    synchronized void applied() {
      pending--;
      if (pending == 0) {
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
   * @return false when other parts of the node must handle the message
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
      lastReceivedAt.put(peer, agentWorker.now());
      return false;
    } else {
      return receiveAboutMember(peer, message);
    }
    lastReceivedAt.put(peer, agentWorker.now());
    return true;
  }

  private boolean receiveAboutMember(String peer, Object message) {
    if (message instanceof PositionRequest request) {
      if (!onGateway(
          request.group(), request.member(), each -> each.onPositionRequest(peer, request))) {
        network.send(
            peer,
            new PositionReply(request.requestId(), request.member(), false, MemberStatus.UNKNOWN));
      }
    } else if (message instanceof AwaitReceived request) {
      onGateway(request.group(), request.member(), each -> each.onAwaitReceived(peer, request));
    } else if (message instanceof ReceivedReport report) {
      gateways.forEach(
          (key, gateway) -> {
            if (key.startsWith(report.group() + '/')) {
              gateway.worker().execute(() -> gateway.onReceivedReport(report));
            }
          });
    } else if (message instanceof PositionReply reply) {
      gateways.values().forEach(each -> each.worker().execute(() -> each.onPositionReply(reply)));
      return false;
    } else if (message instanceof MemberOrder order) {
      long holdMillis = controlSettings.holdWritesMillis();
      onGateway(order.group(), order.member(), each -> each.onOrder(peer, order, holdMillis));
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
   * Abandons the streams of an edge after the peer link to it broke; open transactions are rolled
   * back.
   *
   * @param peer the edge's node
   */
  public void linkLost(String peer) {
    streams.values().stream()
        .filter(each -> each.peer().equals(peer))
        .forEach(each -> each.worker().execute(() -> breakOff(each)));
  }

  /**
   * Abandons a stream and reports that to the edge, which may have opened the stream on a newer
   * link after it noticed the end of the old one.
   */
  private void breakOff(GatewayStream stream) {
    String detail = "peer link to " + stream.peer() + " broke";
    network.send(stream.peer(), new Broken(stream.id(), "link", detail));
    stream.abandon();
  }

  private void abandon(GatewayStream stream) {
    stream.worker().execute(stream::abandon);
  }

  /** Sends keep-alives for open streams, and abandons the streams of unresponsive edges. */
  private void sendKeepAlives() {
    long now = agentWorker.now();
    Map<String, List<Long>> byPeer = new TreeMap<>();
    for (GatewayStream stream : streams.values()) {
      long receivedAt = lastReceivedAt.getOrDefault(stream.peer(), now);
      if (now - receivedAt > settings.edgeSilenceMillis()) {
        abandon(stream);
      } else {
        byPeer.computeIfAbsent(stream.peer(), any -> new ArrayList<>()).add(stream.id());
      }
    }
    byPeer.forEach((peer, ids) -> network.send(peer, new KeepStreams(ids)));
  }
}
