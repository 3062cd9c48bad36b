package org.streamcourse.connection.admin;

import java.util.function.Consumer;
import org.streamcourse.connection.peer.PeerNetwork;
import org.streamcourse.process.ErrorCode;
import org.streamcourse.process.Worker;
import org.streamcourse.version.control.AdminResult;
import org.streamcourse.version.control.ControlMessage.AdminRequest;
import org.streamcourse.version.control.ControlMessage.AdminResponse;
import org.streamcourse.version.control.Controller;
import org.streamcourse.version.control.LeaderForwarder;
import org.streamcourse.version.language.AdminExecutor;

/** Forwards operators' statements from the controller that received them to the leader. */
public final class StatementRouter {
  private static final long FORWARD_TIMEOUT_MILLIS = 10_000;

  private final PeerNetwork network;
  private final LeaderForwarder<String, AdminResult> forwarder;

  /**
   * Creates a router.
   *
   * @param worker the controller's worker
   * @param network peer network for messages to other controllers
   * @param controller this controller
   * @param lastRequest number below those of the statements that this start forwards; far from
   *     those of other starts
   */
  public StatementRouter(
      Worker worker, PeerNetwork network, Controller controller, long lastRequest) {
    this.network = network;
    AdminExecutor executor = new AdminExecutor(controller);
    this.forwarder =
        new LeaderForwarder<>(
            worker,
            controller,
            executor::execute,
            (leader, id, statement) -> network.send(leader, new AdminRequest(id, statement)),
            notRun("there is no leader now"),
            FORWARD_TIMEOUT_MILLIS,
            lastRequest);
  }

  private static AdminResult notRun(String why) {
    return AdminResult.error(ErrorCode.NO_MEMBER_AVAILABLE.sqlState(), "not run: " + why);
  }

  /**
   * Executes a statement here or at the leader.
   *
   * @param statement text of the statement
   * @param answer receives the result, at most once, on any thread
   */
  public void execute(String statement, Consumer<AdminResult> answer) {
    forwarder.execute(statement, answer);
  }

  /**
   * Handles a message of another controller.
   *
   * @param peer sender
   * @param message message of that controller
   */
  public void receive(String peer, Object message) {
    if (message instanceof AdminRequest request) {
      forwarder.executeForwarded(
          request.statement(),
          result -> network.send(peer, new AdminResponse(request.requestId(), result)),
          notRun("the leader has changed"));
    } else if (message instanceof AdminResponse response) {
      forwarder.onResponse(response.requestId(), response.result());
    }
  }
}
