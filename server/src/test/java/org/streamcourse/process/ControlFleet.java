package org.streamcourse.process;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.streamcourse.connection.peer.LinkTraffic;
import org.streamcourse.connection.peer.PeerDistance;
import org.streamcourse.connection.peer.PeerHandler;
import org.streamcourse.connection.peer.PeerNetwork;
import org.streamcourse.connection.peer.SimulatedLinks;
import org.streamcourse.request.StreamTypes;
import org.streamcourse.version.agreement.AgreementSettings;
import org.streamcourse.version.control.ControlMessage.MemberReport;
import org.streamcourse.version.control.ControlSettings;
import org.streamcourse.version.control.MemberRole;
import org.streamcourse.version.control.MemberStatus;
import org.streamcourse.version.control.NodeAgent;
import org.streamcourse.version.control.ServiceCall;
import org.streamcourse.version.image.MemberId;
import org.streamcourse.version.image.NodeImage;
import org.streamcourse.version.image.Placement;
import org.streamcourse.version.image.RegisteredMember;
import org.streamcourse.version.image.RoutingDocument;
import org.streamcourse.version.image.SessionLimits;
import org.streamcourse.version.image.TermPosition;
import reactor.test.scheduler.VirtualTimeScheduler;

/**
 * Simulates controllers and nodes' agents in three regions on a virtual clock, with members that
 * send heartbeats and whose logs grow, but without statements. Measures the control plane's
 * traffic.
 */
public final class ControlFleet {
  private static final int REGIONS = 3;
  private static final int ZONES = 2 * REGIONS;
  private static final int MAX_VOTERS = 5;
  private static final int SERVICES = 6;
  private static final int MEMBERS_PER_SERVICE = 3;

  /** Members heard within the last second by a node with about 7 statements per second. */
  private static final int HEARD_MEMBERS = 6;

  private static final long MEMBER_HEARTBEAT_MILLIS = 1_000;

  /** Time between records of a member's log: 70 writes per second over six services. */
  private static final long MILLIS_PER_RECORD = 86;

  private static final long STAGGER_MILLIS = 1_000;

  private final VirtualTimeScheduler clock = VirtualTimeScheduler.create();
  private final SimulatedLinks links = new SimulatedLinks(clock, StreamTypes.codec());
  private final Random random = new Random(1);
  private final Map<String, ControllerNode> controllers = new TreeMap<>();
  private final Map<String, NodeAgent> nodes = new TreeMap<>();
  private final List<String> controllerNames = new ArrayList<>();
  private final MemoryLimits limits;

  /**
   * Creates a fleet that is not started.
   *
   * @param nodeCount nodes, spread over all zones
   */
  public ControlFleet(int nodeCount) {
    this(nodeCount, MemoryLimits.DEFAULT);
  }

  /**
   * Creates a fleet that is not started.
   *
   * @param nodeCount nodes, spread over all zones
   * @param limits memory limits of the controllers
   */
  public ControlFleet(int nodeCount, MemoryLimits limits) {
    this.limits = limits;
    for (int i = 0; i < ZONES; i++) {
      controllerNames.add("10.0." + i + ".1:7000");
    }
    for (int i = 0; i < ZONES; i++) {
      addController(controllerNames.get(i), placementOf(i));
    }
    for (int i = 0; i < nodeCount; i++) {
      addNode("10.1." + i / 200 + "." + i % 200 + ":7000", placementOf(i));
    }
  }

  private static Placement placementOf(int number) {
    int region = number % REGIONS;
    String name = "region-" + region;
    return new Placement(name, name + "-" + (number / REGIONS % 2));
  }

  private Worker worker() {
    return SchedulerWorker.onSchedulerClock(clock);
  }

  private void addController(String name, Placement placement) {
    PeerNetwork network = links.add(name, placement);
    ControllerNode node =
        new ControllerNode(
            name,
            controllerNames,
            true,
            worker(),
            network,
            new MemoryDisk(),
            StreamTypes.codec(),
            AgreementSettings.DEFAULT.withMaxVoters(MAX_VOTERS).withMemory(limits),
            ControlSettings.DEFAULT,
            new Random(name.hashCode()),
            0);
    node.controller().setPlacement(placement);
    links.attach(name, node);
    controllers.put(name, node);
  }

  private void addNode(String name, Placement placement) {
    PeerNetwork network = links.add(name, placement);
    NodeImage self =
        new NodeImage(name, 1, name.substring(0, name.indexOf(':')), 7_000, placement, false);
    NodeAgent agent =
        new NodeAgent(
            worker(),
            network,
            new NoDisk(),
            StreamTypes.codec(),
            ControlSettings.DEFAULT,
            controllerNames,
            self,
            0);
    agent.setHeartbeatPreparation(() -> reportSomeMembers(agent));
    links.attach(
        name,
        new PeerHandler() {
          @Override
          public void receive(String peer, Object message) {
            agent.receive(peer, message);
          }

          @Override
          public void linkLost(String peer) {
            // Missing heartbeat replies reveal a lost link.
          }
        });
    nodes.put(name, agent);
  }

  /** Reports members as a node does that serves a few statements per second. */
  private void reportSomeMembers(NodeAgent agent) {
    if (!agent.image().document().isPresent()) {
      return;
    }
    for (int i = 0; i < SERVICES * MEMBERS_PER_SERVICE; i++) {
      if (random.nextInt(SERVICES * MEMBERS_PER_SERVICE) < HEARD_MEMBERS) {
        TermPosition position = new TermPosition(1, nowMillis() / MILLIS_PER_RECORD);
        MemberStatus status =
            new MemberStatus(1, MemberRole.REPLICA, "", position, position, position);
        agent.report(new MemberReport(service(i), memberId(i), true, status), false);
      } else {
        agent.withdrawReport(service(i), memberId(i));
      }
    }
  }

  private static String service(int member) {
    return "service-" + member / MEMBERS_PER_SERVICE;
  }

  private static String memberId(int member) {
    return "member-" + member + "-run-1";
  }

  /** Starts the controllers, half a second later the nodes within a second, and the members. */
  public void start() {
    controllers.values().forEach(ControllerNode::start);
    advance(STAGGER_MILLIS / 2);
    for (NodeAgent agent : nodes.values()) {
      worker().schedule(random.nextLong(STAGGER_MILLIS), agent::start);
    }
    for (int i = 0; i < SERVICES * MEMBERS_PER_SERVICE; i++) {
      int member = i;
      worker().repeat(MEMBER_HEARTBEAT_MILLIS, () -> memberHeartbeat(member, nowMillis()));
    }
    advance(STAGGER_MILLIS);
    replaceDocument(1);
  }

  private void memberHeartbeat(int member, long sequence) {
    RegisteredMember registered =
        new RegisteredMember(
            new MemberId(memberId(member)),
            "10.2.0." + member,
            5_432,
            placementOf(member).zone(),
            4,
            false);
    call(
        member % ZONES,
        new ServiceCall.MemberHeartbeat(
            service(member), registered, member % MEMBERS_PER_SERVICE == 0, sequence));
  }

  /** Replaces the routing document through the controllers. */
  public void replaceDocument(long version) {
    RoutingDocument document =
        new RoutingDocument(
            version, List.of(), List.of(), SessionLimits.DEFAULT, List.of(), "v" + version);
    call(0, new ServiceCall.ReplaceDocument(document));
  }

  private void call(int controller, ServiceCall call) {
    call(controller, call, result -> {});
  }

  /** Calls a controller as an operator or a member does. */
  public void call(int controller, ServiceCall call, Consumer<ServiceCall.Result> answer) {
    controllers.get(controllerNames.get(controller)).serviceCalls().execute(call, answer);
  }

  private long nowMillis() {
    return worker().now();
  }

  /** Advances the virtual clock. */
  public void advance(long millis) {
    clock.advanceTimeBy(Duration.ofMillis(millis));
  }

  public SimulatedLinks links() {
    return links;
  }

  public Map<String, NodeAgent> nodes() {
    return nodes;
  }

  public List<String> controllerNames() {
    return controllerNames;
  }

  public Map<String, ControllerNode> controllers() {
    return controllers;
  }

  /** Returns the name of the leading controller. */
  public String leader() {
    return controllers.entrySet().stream()
        .filter(each -> each.getValue().controller().agreement().isLeader())
        .map(Map.Entry::getKey)
        .findFirst()
        .orElseThrow();
  }

  /** Returns the bytes sent so far over a distance. */
  public long bytes(PeerDistance distance) {
    return sum(counter -> counter.distance() == distance);
  }

  /** Returns the bytes sent so far, summed over the matching counters. */
  public long sum(Predicate<LinkTraffic.Counter> wanted) {
    long[] bytes = new long[1];
    for (String name : names()) {
      links
          .trafficOf(name)
          .forEach(counter -> bytes[0] += wanted.test(counter) ? counter.bytes() : 0);
    }
    return bytes[0];
  }

  /** Returns the bytes sent between regions so far, by kind of message. */
  public Map<String, Long> betweenRegions() {
    Map<String, Long> byKind = new TreeMap<>();
    for (String name : names()) {
      links
          .trafficOf(name)
          .forEach(
              counter -> {
                if (counter.distance() == PeerDistance.OTHER_REGION) {
                  byKind.merge(counter.kind(), counter.bytes(), Long::sum);
                }
              });
    }
    return byKind;
  }

  private List<String> names() {
    List<String> names = new ArrayList<>(controllers.keySet());
    names.addAll(nodes.keySet());
    return names;
  }
}
