package org.streamcourse.process;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamcourse.connection.admin.StatementRouter;
import org.streamcourse.connection.peer.PeerHandler;
import org.streamcourse.connection.peer.PeerNetwork;
import org.streamcourse.version.agreement.AgreementMessage.JoinRequest;
import org.streamcourse.version.agreement.AgreementNode;
import org.streamcourse.version.agreement.AgreementSettings;
import org.streamcourse.version.agreement.QuorumState;
import org.streamcourse.version.agreement.RecordLog;
import org.streamcourse.version.agreement.VoterSet;
import org.streamcourse.version.control.ControlMessage;
import org.streamcourse.version.control.ControlMessage.AgreementEnvelope;
import org.streamcourse.version.control.ControlSettings;
import org.streamcourse.version.control.Controller;
import org.streamcourse.version.control.ControllerStateMachine;
import org.streamcourse.version.control.ServiceAgents;
import org.streamcourse.version.control.ServiceCallRouter;

/**
 * A controller without its sockets, used by the controller process, the simulator and the scale
 * run.
 *
 * <p>An empty data folder is treated as a lost disk: the controller takes a new identity and
 * requests to join as a learner. Only an explicit bootstrap makes it one of the first voters.
 */
public final class ControllerNode implements PeerHandler {
  private static final Logger LOG = LoggerFactory.getLogger(ControllerNode.class);
  private static final String FIRST_DISK = "first";
  private static final long JOIN_RETRY_MILLIS = 500;

  private final Worker worker;
  private final AgreementNode agreement;
  private final Controller controller;
  private final StatementRouter router;
  private final ServiceCallRouter serviceCalls;
  private final PeerNetwork network;
  private final String name;
  private final ControllerMemory memory;
  private volatile List<String> controllers;

  /**
   * Opens the log and creates a controller.
   *
   * @param name name of this controller
   * @param controllers names of all controllers
   * @param bootstrap whether an empty data folder belongs to a new fleet
   * @param worker worker that runs the controller
   * @param network sends messages to other processes
   * @param disk data folder
   * @param codec codec for all message types
   * @param agreementSettings timing of the consensus protocol
   * @param controlSettings timing of the control plane
   * @param random random source for election timeouts and identities
   * @param lastRequest number below those of the requests that this start forwards; far from those
   *     of other starts
   */
  public ControllerNode(
      String name,
      List<String> controllers,
      boolean bootstrap,
      Worker worker,
      PeerNetwork network,
      Disk disk,
      MessageCodec codec,
      AgreementSettings agreementSettings,
      ControlSettings controlSettings,
      RandomGenerator random,
      long lastRequest) {
    this(
        name,
        controllers,
        bootstrap,
        worker,
        network,
        disk,
        codec,
        agreementSettings,
        controlSettings,
        random,
        lastRequest,
        ServiceAgents.NONE);
  }

  /**
   * Opens the log and creates a controller with an external agent that promotes members.
   *
   * @param name name of this controller
   * @param controllers names of all controllers
   * @param bootstrap whether an empty data folder belongs to a new fleet
   * @param worker worker that runs the controller
   * @param network sends messages to other processes
   * @param disk data folder
   * @param codec codec for all message types
   * @param agreementSettings timing of the consensus protocol
   * @param controlSettings timing of the control plane
   * @param random random source for election timeouts and identities
   * @param lastRequest number below those of the requests that this start forwards; far from those
   *     of other starts
   * @param agents external agents for self-registering services
   */
  public ControllerNode(
      String name,
      List<String> controllers,
      boolean bootstrap,
      Worker worker,
      PeerNetwork network,
      Disk disk,
      MessageCodec codec,
      AgreementSettings agreementSettings,
      ControlSettings controlSettings,
      RandomGenerator random,
      long lastRequest,
      ServiceAgents agents) {
    this.worker = worker;
    this.network = network;
    this.name = name;
    this.controllers = List.copyOf(controllers);
    ControllerStateMachine machine = new ControllerStateMachine(codec, agreementSettings.memory());
    RecordLog log = RecordLog.open(disk, codec, agreementSettings.memory());
    if (log.quorumState() == null) {
      initializeIdentity(log, name, controllers, bootstrap, machine, random);
    }
    agreement =
        new AgreementNode(
            worker,
            (identity, message) ->
                network.send(VoterSet.nameOf(identity), new AgreementEnvelope(identity, message)),
            log,
            machine,
            agreementSettings,
            random);
    controller =
        new Controller(worker, network, codec, agreement, machine, controlSettings, agents);
    router = new StatementRouter(worker, network, controller, lastRequest);
    MemoryLimits limits = agreementSettings.memory();
    serviceCalls = new ServiceCallRouter(worker, network, controller, limits, lastRequest);
    memory = new ControllerMemory(limits, log, machine, serviceCalls);
  }

  private static void initializeIdentity(
      RecordLog log,
      String name,
      List<String> controllers,
      boolean bootstrap,
      ControllerStateMachine machine,
      RandomGenerator random) {
    if (bootstrap && controllers.contains(name)) {
      List<String> voters =
          controllers.stream().map(each -> VoterSet.identity(each, FIRST_DISK)).toList();
      log.bootstrap(VoterSet.identity(name, FIRST_DISK), voters, machine.snapshot());
      return;
    }
    String disk = Long.toHexString(random.nextLong());
    log.saveQuorumState(new QuorumState(VoterSet.identity(name, disk), 0, ""));
    LOG.info(
        "data folder is empty; joining with the new identity {}", VoterSet.identity(name, disk));
  }

  /** Starts the controller and its requests to join. */
  public void start() {
    worker.execute(
        () -> {
          controller.start();
          requestJoin();
        });
  }

  /** Stops the controller. */
  public void stop() {
    worker.execute(controller::stop);
  }

  /**
   * Processes the platform's list of machines.
   *
   * @param leaving addresses of the machines in state "leaving"
   */
  public void onPlatformList(Set<String> leaving) {
    worker.execute(() -> controller.onPlatformList(leaving));
  }

  /**
   * Returns the controller's decision logic.
   *
   * @return controller
   */
  public Controller controller() {
    return controller;
  }

  /**
   * Returns what this controller keeps in memory.
   *
   * @return sizes
   */
  public ControllerMemory memory() {
    return memory;
  }

  /**
   * Returns the router for operators' statements.
   *
   * @return router
   */
  public StatementRouter router() {
    return router;
  }

  /**
   * Returns the router for calls from operators and members.
   *
   * @return router
   */
  public ServiceCallRouter serviceCalls() {
    return serviceCalls;
  }

  /**
   * Replaces the list of controllers to which join requests are sent.
   *
   * @param names names of controllers
   */
  public void setControllers(List<String> names) {
    controllers = List.copyOf(names);
  }

  /**
   * Sends join requests to all other controllers until the leader has admitted this identity, and
   * again whenever no leader is known, since the other controllers may have removed this one.
   */
  private void requestJoin() {
    boolean member = agreement.voters().all().contains(agreement.identity());
    if (!member || agreement.leader().isEmpty()) {
      Set<String> recipients = new TreeSet<>(controllers);
      agreement.voters().all().forEach(each -> recipients.add(VoterSet.nameOf(each)));
      recipients.remove(name);
      JoinRequest request = new JoinRequest(agreement.identity(), 0);
      recipients.forEach(other -> network.send(other, new ControlMessage.JoinEnvelope(request)));
    }
    worker.schedule(JOIN_RETRY_MILLIS, this::requestJoin);
  }

  @Override
  public void receive(String peer, Object message) {
    if (message instanceof ControlMessage.ForwardedCall
        || message instanceof ControlMessage.ForwardedResult) {
      serviceCalls.receive(peer, message);
      return;
    }
    worker.execute(
        () -> {
          if (message instanceof ControlMessage.JoinEnvelope join) {
            agreement.receive(join.request());
          } else if (message instanceof ControlMessage.AdminRequest
              || message instanceof ControlMessage.AdminResponse) {
            router.receive(peer, message);
          } else {
            controller.receive(peer, message);
          }
        });
  }

  @Override
  public void linkLost(String peer) {
    // Missing heartbeats and replies reveal a lost link.
  }
}
