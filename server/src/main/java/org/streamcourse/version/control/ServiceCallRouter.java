package org.streamcourse.version.control;

import java.util.function.Consumer;
import org.streamcourse.connection.peer.PeerNetwork;
import org.streamcourse.process.ByteBudget;
import org.streamcourse.process.MemoryLimits;
import org.streamcourse.process.Worker;
import org.streamcourse.version.control.ControlMessage.ForwardedCall;
import org.streamcourse.version.control.ControlMessage.ForwardedResult;
import org.streamcourse.version.control.ServiceCall.Result;

/** Forwards calls of operators and members to the leader, whichever controller received them. */
public final class ServiceCallRouter {
  private static final long FORWARD_TIMEOUT_MILLIS = 5_000;

  private final Worker worker;
  private final PeerNetwork network;

  /** Bytes of the calls that the worker has not begun to carry out. */
  private final ByteBudget waiting;

  private final LeaderForwarder<ServiceCall, Result> forwarder;

  /**
   * Creates a router.
   *
   * @param worker the controller's worker
   * @param network sends messages to other controllers
   * @param controller this controller
   * @param limits limits of what is kept in memory
   * @param lastRequest number below those of the calls that this start forwards; far from those of
   *     other starts
   */
  public ServiceCallRouter(
      Worker worker,
      PeerNetwork network,
      Controller controller,
      MemoryLimits limits,
      long lastRequest) {
    this.worker = worker;
    this.network = network;
    this.waiting = new ByteBudget(limits.callsBytes());
    this.forwarder =
        new LeaderForwarder<>(
            worker,
            controller,
            controller::call,
            (leader, id, call) -> network.send(leader, new ForwardedCall(id, call)),
            Result.unavailable("there is no leader now"),
            FORWARD_TIMEOUT_MILLIS,
            lastRequest);
  }

  /**
   * Carries out a call here or at the leader.
   *
   * @param call the call
   * @param answer receives the outcome, at most once, on any thread; not called when the leader
   *     changes
   */
  public void execute(ServiceCall call, Consumer<Result> answer) {
    queue(call, answer, () -> forwarder.route(call, answer));
  }

  /**
   * Runs a task for a call on the worker, unless too many bytes of calls wait for it; then the call
   * is refused at once.
   */
  private void queue(ServiceCall call, Consumer<Result> answer, Runnable task) {
    long bytes = call.bytes();
    if (!waiting.tryTake(bytes)) {
      answer.accept(Result.unavailable("too many large calls wait; try again in a second"));
      return;
    }
    worker.execute(
        () -> {
          waiting.release(bytes);
          task.run();
        });
  }

  /**
   * Returns the bytes of the calls that wait for the worker.
   *
   * @return bytes
   */
  public long waitingBytes() {
    return waiting.used();
  }

  /**
   * Handles a message from another controller, on any thread.
   *
   * @param peer name of the sender
   * @param message the message
   */
  public void receive(String peer, Object message) {
    if (message instanceof ForwardedCall forwarded) {
      Consumer<Result> reply =
          result -> network.send(peer, new ForwardedResult(forwarded.callId(), result));
      Result notLeading = Result.unavailable("the leader has changed");
      queue(
          forwarded.call(),
          reply,
          () -> forwarder.executeForwarded(forwarded.call(), reply, notLeading));
    } else if (message instanceof ForwardedResult forwarded) {
      worker.execute(() -> forwarder.onResponse(forwarded.callId(), forwarded.result()));
    }
  }
}
