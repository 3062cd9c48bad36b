package org.streamcourse.version.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.streamcourse.connection.peer.PeerHandler;
import org.streamcourse.connection.peer.PeerNetwork;
import org.streamcourse.process.MessageCodec;
import org.streamcourse.process.Worker;
import org.streamcourse.version.agreement.AgreementNode;
import org.streamcourse.version.agreement.VoterSet;
import org.streamcourse.version.control.ControlMessage.AgreementEnvelope;
import org.streamcourse.version.control.ControlMessage.CommandOutcome;
import org.streamcourse.version.control.ControlMessage.LeaderHint;
import org.streamcourse.version.control.ControlMessage.LoggedCommand;
import org.streamcourse.version.control.ControlMessage.MemberOrder;
import org.streamcourse.version.control.ControlMessage.MemberOrderResult;
import org.streamcourse.version.control.ControlMessage.NodeHeartbeat;
import org.streamcourse.version.control.ControlMessage.QuotaNews;
import org.streamcourse.version.control.ControlMessage.QuotaReport;
import org.streamcourse.version.control.ControlMessage.QuotaShare;
import org.streamcourse.version.image.ClusterChange;
import org.streamcourse.version.image.ClusterChange.ConfigurationChange;
import org.streamcourse.version.image.ClusterImage;
import org.streamcourse.version.image.GroupImage;
import org.streamcourse.version.image.Placement;
import org.streamcourse.version.image.QuotaHolder;
import org.streamcourse.version.image.RoutingDocument;
import reactor.core.Disposable;

/**
 * One controller. As the leader it admits nodes, assigns allowances, supervises groups and carries
 * out operators' commands; otherwise it answers nodes with a hint to the leader.
 *
 * <p>All methods run on the controller's worker.
 */
public final class Controller implements PeerHandler, ControllerStateMachine.Listener {
  /** Expected version of a command that is valid at any version. */
  private static final long ANY_VERSION = -1;

  private final Worker worker;
  private final PeerNetwork network;
  private final MessageCodec codec;
  private final AgreementNode agreement;
  private final ControllerStateMachine machine;
  private final ControlSettings settings;
  private final NodeRegistry registry = new NodeRegistry();
  private final NodeAdmission admission;
  private final PlatformWatch platform = new PlatformWatch(new PlatformActions());
  private final DocumentLog documentLog = new DocumentLog();
  private final DecisionHistory decisions = new DecisionHistory();
  private final Map<String, Consumer<CommandOutcome>> waitingCommands = new HashMap<>();
  private final GroupSupervisor.Actions actions = new SupervisorActions();
  private final GroupSupervisors supervisors;
  private final ServiceSupervisor services;
  private final QuotaPlanner quotas;
  private final ImagePusher pusher;
  private final HeartbeatReplies replies;
  private final BufferedHeartbeats bufferedHeartbeats;
  private long orderIds;
  private Disposable supervision = () -> {};

  /**
   * Creates a controller.
   *
   * @param worker worker on which all methods run
   * @param network sends messages to nodes and other controllers
   * @param codec codec that knows the control messages
   * @param agreement this controller's part in the replicated log
   * @param machine state machine of that log
   * @param settings timing
   * @param agents external services that are called for self-registering members
   */
  public Controller(
      Worker worker,
      PeerNetwork network,
      MessageCodec codec,
      AgreementNode agreement,
      ControllerStateMachine machine,
      ControlSettings settings,
      ServiceAgents agents) {
    this.worker = worker;
    this.network = network;
    this.codec = codec;
    this.agreement = agreement;
    this.machine = machine;
    this.settings = settings;
    this.admission = new NodeAdmission(settings, registry, platform::isLeaving, actions);
    this.services =
        new ServiceSupervisor(
            actions, registry, settings, agents.promotion(), agents.probe(), worker::execute);
    this.supervisors =
        new GroupSupervisors(name -> new GroupSupervisor(name, settings, registry, actions));
    this.quotas = new QuotaPlanner(settings.quotas(), machine.quotas(), new QuotaActions());
    this.bufferedHeartbeats = new BufferedHeartbeats(worker, network);
    this.pusher = new ImagePusher(worker, network, agreement, machine);
    this.replies = new HeartbeatReplies(worker, network, agreement, machine);
    machine.setListener(this);
  }

  /**
   * Receives the platform's list of machines.
   *
   * @param leaving addresses of the members and nodes that the list marks as leaving
   */
  public void onPlatformList(Set<String> leaving) {
    platform.setLeaving(leaving);
    admission.replan();
    if (agreement.isLeader()) {
      platform.check(machine.image());
    }
  }

  /**
   * Sets the placement of this controller, so that nodes receive whole images from controllers of
   * their own region.
   *
   * @param placement region and zone, or null when it is not known; to be set before the start
   */
  public void setPlacement(Placement placement) {
    bufferedHeartbeats.setPlacement(placement);
  }

  /** Starts the agreement protocol. */
  public void start() {
    bufferedHeartbeats.onStart();
    agreement.start();
  }

  /** Stops supervision and the agreement protocol. */
  public void stop() {
    supervision.dispose();
    agreement.stop();
  }

  /**
   * Returns the agreed image.
   *
   * @return image at the last applied command
   */
  public ClusterImage image() {
    return machine.image();
  }

  /**
   * Returns the decision history of this controller.
   *
   * @return decisions, oldest first
   */
  public List<Decision> decisions() {
    return decisions.all();
  }

  /**
   * Returns the agreement node.
   *
   * @return this controller's part in the replicated log
   */
  public AgreementNode agreement() {
    return agreement;
  }

  /**
   * Returns the name of the leader.
   *
   * @return name, empty when unknown
   */
  public String leaderName() {
    return agreement.leader().map(VoterSet::nameOf).orElse("");
  }

  /**
   * Counts the nodes that have a version in force.
   *
   * @param version the version
   * @return number of such nodes among those that have sent this leader a heartbeat
   */
  public long nodesWithVersion(long version) {
    return registry.countWithVersion(version);
  }

  /**
   * Returns the age of a node's last heartbeat at this leader.
   *
   * @param node node's name
   * @return milliseconds since the last heartbeat, or empty when none was received
   */
  public Optional<Long> millisSinceHeartbeat(String node) {
    return registry.state(node).map(state -> worker.now() - state.lastHeartbeatMillis());
  }

  /**
   * Returns the number of sessions that a node reported.
   *
   * @param node node's name
   * @return number, or empty when no heartbeat of the node was received
   */
  public Optional<Integer> sessionsOf(String node) {
    return registry.state(node).map(NodeRegistry.NodeState::sessions);
  }

  /**
   * Returns the planner of tenants' shares.
   *
   * @return planner of this controller
   */
  public QuotaPlanner quotas() {
    return quotas;
  }

  /**
   * Finds the freshest report about a member among its present gateways. Reports of former gateways
   * may be out of date and are left out.
   *
   * @param group group's name
   * @param member member's name
   * @return report, if a gateway's heartbeat was received recently
   */
  public Optional<ControlMessage.MemberReport> report(String group, String member) {
    return machine
        .image()
        .group(group)
        .flatMap(image -> image.member(member))
        .flatMap(
            image ->
                registry.freshReport(
                    image.gateways(),
                    group,
                    member,
                    worker.now(),
                    settings.gatewaySilenceMillis()));
  }

  /**
   * Proposes an operator's change; called only at the leader.
   *
   * @param command change with its id and expected version
   * @param answer receives the outcome once it is agreed; never called if the leadership ends first
   */
  public void submit(LoggedCommand command, Consumer<CommandOutcome> answer) {
    Optional<CommandOutcome> known = machine.outcome(command.commandId());
    if (known.isPresent()) {
      agreement.whenLeadershipConfirmed(() -> answer.accept(known.get()), false);
      return;
    }
    waitingCommands.put(command.commandId(), answer);
    agreement.propose(codec.encode(command));
  }

  /**
   * Starts a planned change of primary; called only at the leader.
   *
   * @param group group's name
   * @param target member that is to become primary
   * @return reason for the refusal, or empty when the change has started
   */
  public Optional<String> switchPrimary(String group, String target) {
    Optional<GroupImage> image = machine.image().group(group);
    if (image.isEmpty()) {
      return Optional.of("group '" + group + "' does not exist");
    }
    Optional<String> wrong = supervisors.of(group).startSwitchover(image.get(), target);
    supervisors.of(group).check(image.get());
    return wrong;
  }

  /**
   * Carries out an operator's or member's call; called only at the leader.
   *
   * @param call the call
   * @param answer receives the outcome once it is agreed; never called if the leadership ends first
   */
  public void call(ServiceCall call, Consumer<ServiceCall.Result> answer) {
    ClusterImage image = machine.image();
    if (call instanceof ServiceCall.ReplaceDocument replace) {
      services.replaceDocument(image, replace, answer);
    } else if (call instanceof ServiceCall.MemberHeartbeat heartbeat) {
      services.memberHeartbeat(image, heartbeat, answer);
    } else if (call instanceof ServiceCall.MemberLeaves leaves) {
      services.memberLeaves(image, leaves, answer);
    } else {
      agreement.whenLeadershipConfirmed(() -> answer.accept(newestDocument()), true);
    }
  }

  private ServiceCall.Result newestDocument() {
    RoutingDocument document = machine.image().document();
    return document.isPresent()
        ? new ServiceCall.Result(ServiceCall.Status.DONE, document.source())
        : ServiceCall.Result.unavailable("there is no routing document yet");
  }

  // ---- messages ----

  @Override
  public void receive(String peer, Object message) {
    if (message instanceof AgreementEnvelope envelope) {
      if (envelope.toIdentity().equals(agreement.identity())) {
        agreement.receive(envelope.message());
      }
    } else if (message instanceof NodeHeartbeat heartbeat) {
      onHeartbeat(peer, heartbeat);
    } else if (message instanceof MemberOrderResult result) {
      onOrderResult(result);
    } else if (message instanceof QuotaReport report && agreement.isLeader()) {
      quotas.onReport(peer, report);
    }
  }

  @Override
  public void linkLost(String peer) {
    // No state depends on a peer link: lost nodes are detected by missing heartbeats.
  }

  private void onHeartbeat(String peer, NodeHeartbeat heartbeat) {
    if (!agreement.isLeader()) {
      network.send(peer, new LeaderHint(leaderName()));
      bufferedHeartbeats.add(peer, heartbeat, machine.image());
      return;
    }
    boolean known = registry.state(peer).map(NodeRegistry.NodeState::isComplete).orElse(false);
    boolean complete = heartbeat.all() || known;
    if (!registry.onHeartbeat(heartbeat, worker.now(), complete)) {
      return;
    }
    quotas.onHeartbeat(peer);
    admission.onHeartbeat(machine.image(), heartbeat);
    registry.state(peer).ifPresent(state -> state.changedGroups().forEach(this::checkGroup));
    agreement.whenLeadershipConfirmed(
        () -> replies.reply(peer, heartbeat.sequence(), heartbeat.version(), !complete),
        BufferedHeartbeats.isWithoutImage(heartbeat));
  }

  private void checkGroup(String group) {
    machine.image().group(group).ifPresent(supervisors::check);
  }

  private void onOrderResult(MemberOrderResult result) {
    if (agreement.isLeader()) {
      supervisors.orderResult(machine.image(), result);
    }
  }

  // ---- state machine ----

  @Override
  public void applied(LoggedCommand command, CommandOutcome outcome) {
    documentLog.applied(machine.image(), agreement.leader().isEmpty());
    Consumer<CommandOutcome> waiting = waitingCommands.remove(command.commandId());
    if (waiting != null) {
      decisions.record(
          new Decision(
              worker.now(),
              Decision.Kind.COMMAND,
              command.commandId(),
              "operator",
              command.change().toString(),
              outcome.status() + " " + outcome.detail()));
      waiting.accept(outcome);
    }
    if (!agreement.isLeader()) {
      return;
    }
    if (command.change() instanceof ClusterChange.AllowancesSet set) {
      admission.applied(set, machine.image().version());
    }
    boolean accepted = outcome.status() == ControlMessage.CommandStatus.ACCEPTED;
    if (accepted && machine.image().version() > 0) {
      pusher.push();
    }
    services.applied(command.change(), machine.image());
    if (command.change() instanceof ClusterChange.QuotaGranted) {
      quotas.applied(machine.newGrants());
    }
    GroupSupervisors.groupOf(command.change())
        .flatMap(name -> machine.image().group(name))
        .ifPresent(supervisors::check);
  }

  @Override
  public void leadershipChanged(boolean leads, long term) {
    registry.clear();
    supervisors.restart(worker.now());
    waitingCommands.clear();
    admission.restart(worker.now());
    platform.restart();
    services.restart();
    quotas.restart();
    pusher.restart();
    replies.restart();
    supervision.dispose();
    Map<String, NodeHeartbeat> buffered = bufferedHeartbeats.take();
    if (leads) {
      supervision = worker.repeat(settings.supervisionMillis(), this::supervise);
      buffered.forEach(this::onHeartbeat);
    }
  }

  @Override
  public void proposalsFailed() {
    services.proposalsFailed();
  }

  private void supervise() {
    ClusterImage image = machine.image();
    admission.check(image);
    platform.check(image);
    services.check(image);
    quotas.check(image);
    supervisors.checkDue(image, worker.now());
  }

  private final class PlatformActions implements PlatformWatch.Actions {
    @Override
    public void handOver(GroupImage group, String address) {
      supervisors.of(group.name()).handOver(group, "the platform lists " + address + " as leaving");
      supervisors.check(group);
    }

    @Override
    public void drain(ClusterChange.MemberDrained change, String address) {
      decisions.record(
          new Decision(
              worker.now(),
              Decision.Kind.PLATFORM_LEAVING,
              change.group() + '/' + change.member(),
              "the platform lists " + address + " as leaving",
              "",
              "drained"));
      String commandId =
          "platform/" + change.group() + '/' + change.member() + '/' + machine.image().version();
      submit(new LoggedCommand(commandId, ANY_VERSION, change), outcome -> {});
    }
  }

  private final class QuotaActions implements QuotaPlanner.Actions {
    @Override
    public long now() {
      return worker.now();
    }

    @Override
    public void propose(ClusterChange.QuotaGranted change) {
      actions.propose(change);
    }

    @Override
    public void sendShares(QuotaHolder holder, List<QuotaShare> shares, boolean confirmed) {
      Runnable send = () -> network.send(holder.node(), new QuotaNews(holder.run(), shares));
      if (confirmed) {
        agreement.whenLeadershipConfirmed(send, true);
      } else {
        send.run();
      }
    }
  }

  private final class SupervisorActions implements GroupSupervisor.Actions {
    @Override
    public long now() {
      return worker.now();
    }

    @Override
    public long nextOrderId() {
      orderIds++;
      return (agreement.term() << Integer.SIZE) + orderIds;
    }

    @Override
    public void sendOrder(String gateway, MemberOrder order) {
      network.send(gateway, order);
    }

    @Override
    public void propose(ClusterChange change) {
      assert !(change instanceof ConfigurationChange) : "only operators change configuration";
      if (agreement.isLeader()) {
        agreement.propose(codec.encode(new LoggedCommand("", ANY_VERSION, change)));
      }
    }

    @Override
    public void decided(
        Decision.Kind kind, String subject, String cause, String inputs, String outcome) {
      decisions.record(new Decision(worker.now(), kind, subject, cause, inputs, outcome));
    }
  }
}
