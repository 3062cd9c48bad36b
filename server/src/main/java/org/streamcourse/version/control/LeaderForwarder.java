package org.streamcourse.version.control;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.streamcourse.process.Worker;

/**
 * Executes requests at the leader, whichever controller received them: a request is executed here
 * when this controller is the leader, and otherwise forwarded to the leader, whose response is
 * passed back.
 *
 * <p>All methods but {@link #execute} run on the controller's worker.
 *
 * @param <Q> type of requests
 * @param <R> type of responses
 */
public final class LeaderForwarder<Q, R> {
  /** Forwards a request to the leader. */
  public interface Sender<Q> {
    /**
     * Forwards a request.
     *
     * @param leader leader's name
     * @param id number that the response copies
     * @param request the request
     */
    void send(String leader, long id, Q request);
  }

  private final Worker worker;
  private final Controller controller;
  private final BiConsumer<Q, Consumer<R>> executor;
  private final Sender<Q> sender;
  private final R noLeader;
  private final long timeoutMillis;
  private final Map<Long, Consumer<R>> forwarded = new HashMap<>();
  private long lastRequest;

  /**
   * Creates a forwarder.
   *
   * @param worker the controller's worker
   * @param controller this controller
   * @param executor executes a request at the leader
   * @param sender forwards a request to the leader
   * @param noLeader response while no leader is known
   * @param timeoutMillis time after which a leader's response is no longer passed back
   * @param lastRequest number below those of this start's requests; far from those of other starts,
   *     since a response may arrive after a restart
   */
  public LeaderForwarder(
      Worker worker,
      Controller controller,
      BiConsumer<Q, Consumer<R>> executor,
      Sender<Q> sender,
      R noLeader,
      long timeoutMillis,
      long lastRequest) {
    this.worker = worker;
    this.controller = controller;
    this.executor = executor;
    this.sender = sender;
    this.noLeader = noLeader;
    this.timeoutMillis = timeoutMillis;
    this.lastRequest = lastRequest;
  }

  /**
   * Executes a request here or at the leader.
   *
   * @param request the request
   * @param answer receives the response, at most once, on any thread
   */
  public void execute(Q request, Consumer<R> answer) {
    worker.execute(() -> route(request, answer));
  }

  /** Executes a request here or at the leader; runs on the controller's worker. */
  void route(Q request, Consumer<R> answer) {
    if (controller.agreement().isLeader()) {
      executor.accept(request, answer);
      return;
    }
    String leader = controller.leaderName();
    if (leader.isEmpty()) {
      answer.accept(noLeader);
      return;
    }
    lastRequest++;
    long id = lastRequest;
    forwarded.put(id, answer);
    worker.schedule(timeoutMillis, () -> forwarded.remove(id));
    sender.send(leader, id, request);
  }

  /**
   * Handles the leader's response to a forwarded request.
   *
   * @param id number of the request
   * @param result the response
   */
  public void onResponse(long id, R result) {
    Consumer<R> answer = forwarded.remove(id);
    if (answer != null) {
      answer.accept(result);
    }
  }

  /**
   * Executes a request that another controller has forwarded.
   *
   * @param request the request
   * @param reply receives the response
   * @param notLeading response when this controller is no longer the leader
   */
  public void executeForwarded(Q request, Consumer<R> reply, R notLeading) {
    if (controller.agreement().isLeader()) {
      executor.accept(request, reply);
    } else {
      reply.accept(notLeading);
    }
  }
}
