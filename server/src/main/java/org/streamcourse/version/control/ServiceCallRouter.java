package org.streamcourse.version.control;

import java.util.function.Consumer;
import org.streamcourse.connection.peer.PeerNetwork;
import org.streamcourse.process.Worker;
import org.streamcourse.version.control.ControlMessage.ForwardedCall;
import org.streamcourse.version.control.ControlMessage.ForwardedResult;
import org.streamcourse.version.control.ServiceCall.Result;

/** Forwards calls of operators and members to the leader, whichever controller received them. */
public final class ServiceCallRouter {
  private static final long FORWARD_TIMEOUT_MILLIS = 5_000;

  private final PeerNetwork network;
  private final LeaderForwarder<ServiceCall, Result> forwarder;

  /**
   * Creates a router.
   *
   * @param worker the controller's worker
   * @param network sends messages to other controllers
   * @param controller this controller
   */
  public ServiceCallRouter(Worker worker, PeerNetwork network, Controller controller) {
    this.network = network;
    this.forwarder =
        new LeaderForwarder<>(
            worker,
            controller,
            controller::call,
            (leader, id, call) -> network.send(leader, new ForwardedCall(id, call)),
            Result.unavailable("there is no leader now"),
            FORWARD_TIMEOUT_MILLIS);
  }

  /**
   * Carries out a call here or at the leader.
   *
   * @param call the call
   * @param answer receives the outcome, at most once, on any thread; not called when the leader
   *     changes
   */
  public void execute(ServiceCall call, Consumer<Result> answer) {
    forwarder.execute(call, answer);
  }

  /**
   * Handles a message from another controller.
   *
   * @param peer name of the sender
   * @param message the message
   */
  public void receive(String peer, Object message) {
    if (message instanceof ForwardedCall forwarded) {
      forwarder.executeForwarded(
          forwarded.call(),
          result -> network.send(peer, new ForwardedResult(forwarded.callId(), result)),
          Result.unavailable("the leader has changed"));
    } else if (message instanceof ForwardedResult forwarded) {
      forwarder.onResponse(forwarded.callId(), forwarded.result());
    }
  }
}
