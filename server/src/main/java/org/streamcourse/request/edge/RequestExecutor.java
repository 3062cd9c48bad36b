package org.streamcourse.request.edge;

import java.util.List;
import java.util.Optional;
import org.streamcourse.process.ErrorCode;
import org.streamcourse.process.StreamcourseException;
import org.streamcourse.process.Worker;
import org.streamcourse.request.StreamMessage;
import org.streamcourse.request.StreamMessage.Broken;
import org.streamcourse.request.StreamMessage.CancelUnit;
import org.streamcourse.request.StreamMessage.CloseStream;
import org.streamcourse.request.StreamMessage.Credit;
import org.streamcourse.request.StreamMessage.NextUnit;
import org.streamcourse.request.StreamMessage.OpenStream;
import org.streamcourse.request.StreamMessage.Output;
import org.streamcourse.request.StreamMessage.Purpose;
import org.streamcourse.request.StreamMessage.Refusal;
import org.streamcourse.request.StreamMessage.Refused;
import org.streamcourse.request.StreamMessage.Unit;
import org.streamcourse.request.StreamMessage.UnitDone;
import org.streamcourse.version.image.GroupImage;
import org.streamcourse.version.image.TermPosition;
import reactor.core.Disposable;

/**
 * Runs one session's requests, one at a time, on streams to gateways.
 *
 * <p>Attempts after a break or after a refusal for lack of capacity count against the edge's {@link
 * RetryBudget}; those after other refusals do not, since no member has done any work for them.
 *
 * <p>Each attempt has its own stream id, so that late answers to an earlier attempt are recognized
 * and dropped. A write is sent again only after a refusal, which guarantees that it did not run; a
 * read is also sent again after a break, as long as no part of its answer has reached the caller.
 * Any other break of a write ends as {@link ErrorCode#OUTCOME_UNKNOWN}.
 *
 * <p>All methods run on the session's worker.
 */
public final class RequestExecutor {
  private static final long NOT_REPLACED = Long.MAX_VALUE;
  private static final int MAX_READ_BREAKS = 2;
  private static final long FIRST_PAUSE_MILLIS = 15;
  private static final long MAX_PAUSE_MILLIS = 240;

  private final EdgeNode edge;
  private final Worker worker;
  private final RequestListener listener;
  private Request request;
  private List<RouteTarget> targets = List.of();
  private int nextTarget;
  private RouteTarget current;
  private long streamId;
  private boolean active;
  private boolean pinned;
  private boolean outputReceived;
  private final AnswerParts parts = new AnswerParts();

  /** Retry delay that an overloaded gateway returned; 0 while no gateway was overloaded. */
  private long overloadRetryMillis;

  /** Image of the group from which the targets were chosen. */
  private GroupImage routedGroup;

  private int breaks;

  /** Pause before the next attempt; doubles until the group's image changes. */
  private long pauseMillis;

  /** Ticket in {@link WaitingRequests}, or 0 while the request does not wait. */
  private long ticket;

  private Disposable pauseTimer = () -> {};
  private long deadline;
  private long attemptStartedAt;
  private long openedInTerm;

  /** When the edge first observed that the primary of the current attempt was replaced. */
  private long replacedAt = NOT_REPLACED;

  private final RequestTrace trace = new RequestTrace();
  private volatile long lastReceivedMillis;

  /**
   * Creates an executor.
   *
   * @param edge this node's edge
   * @param worker the session's worker
   * @param listener receives the answers
   */
  public RequestExecutor(EdgeNode edge, Worker worker, RequestListener listener) {
    this.edge = edge;
    this.worker = worker;
    this.listener = listener;
  }

  /**
   * Starts a request on a new stream.
   *
   * @param next the request
   */
  public void start(Request next) {
    request = next;
    active = true;
    pinned = false;
    outputReceived = false;
    overloadRetryMillis = 0;
    breaks = 0;
    pauseMillis = FIRST_PAUSE_MILLIS;
    trace.begin(worker.now());
    edge.retryBudget().requestStarted();
    deadline = worker.now() + budget();
    chooseTargets();
    attempt();
  }

  /**
   * Runs a further unit on the open stream.
   *
   * @param unit unit of work to run
   */
  public void next(Unit unit) {
    active = true;
    attemptStartedAt = now();
    trace.begin(attemptStartedAt);
    edge.network().send(current.gateway(), new NextUnit(streamId, unit, budget()));
  }

  /**
   * Allows the gateway to send more of the answer.
   *
   * @param bytes bytes that the caller has read
   */
  public void credit(int bytes) {
    if (current != null && (active || pinned)) {
      edge.network().send(current.gateway(), new Credit(streamId, bytes));
    }
  }

  /** Requests that the member cancel the running unit. */
  public void cancel() {
    if (active && current != null) {
      edge.network().send(current.gateway(), new CancelUnit(streamId));
    }
  }

  /** Ends the running request with an error, because the process is about to exit. */
  public void giveUp() {
    // No attempt begins after the deadline.
    deadline = now();
    if (active && ticket == 0) {
      onBroken("stop", "this proxy is stopping");
    } else if (active) {
      pauseThenRetry();
    }
  }

  /** Abandons the open stream; called when the caller has disconnected. */
  public void close() {
    if (current != null && (active || pinned)) {
      edge.network().send(current.gateway(), new CloseStream(streamId));
    }
    endStream();
  }

  /**
   * Returns whether a transaction keeps the stream open.
   *
   * @return true between the units of a transaction, and during them
   */
  public boolean isPinned() {
    return pinned;
  }

  private long budget() {
    EdgeSettings settings = edge.settings();
    return request.purpose() == Purpose.READ
        ? settings.readBudgetMillis()
        : settings.writeBudgetMillis();
  }

  // ---- attempts ----

  private void chooseTargets() {
    nextTarget = 0;
    routedGroup = edge.image().groups().get(request.group());
    targets =
        routedGroup == null
            ? List.of()
            : edge.router().targets(routedGroup, request.purpose(), request.floor(), now());
  }

  private long now() {
    return worker.now();
  }

  private void attempt() {
    Optional<GroupImage> group = edge.image().group(request.group());
    if (group.isEmpty()) {
      fail(ErrorCode.UNKNOWN_DATABASE, "route", "", "the database no longer exists", 0);
      return;
    }
    if (!edge.isServing()) {
      recordWithoutTarget("this node is not confirmed by the controllers");
      pauseThenRetry();
      return;
    }
    if (nextTarget >= targets.size()) {
      targetsExhausted();
      return;
    }
    current = targets.get(nextTarget);
    nextTarget++;
    streamId = edge.openStream(this);
    parts.reset();
    attemptStartedAt = now();
    lastReceivedMillis = attemptStartedAt;
    openedInTerm = group.get().term();
    replacedAt = NOT_REPLACED;
    long staleness =
        Math.min(request.maxStalenessMillis(), group.get().rules().maxStalenessMillis());
    edge.network()
        .send(
            current.gateway(),
            new OpenStream(
                streamId,
                request.group(),
                current.member().name(),
                request.user(),
                request.purpose(),
                request.floor(),
                staleness,
                Math.max(1, deadline - now()),
                request.settings(),
                request.unit()));
  }

  private void targetsExhausted() {
    if (overloadRetryMillis > 0) {
      String detail = "no gateway accepted the request, and at least one is overloaded";
      fail(ErrorCode.OVERLOADED, "admit", "", detail, overloadRetryMillis);
      return;
    }
    if (targets.isEmpty()) {
      recordWithoutTarget("no member that may run the request is known");
    }
    pauseThenRetry();
  }

  private void recordWithoutTarget(String why) {
    long term = routedGroup == null ? 0 : routedGroup.term();
    trace.addWithoutTarget(why, request.floor(), term, edge.image().version(), now());
  }

  private void recordAttempt(String step, String outcome, TermPosition applied) {
    trace.add(
        new RequestTrace.Attempt(
            current.member().name(),
            current.gateway(),
            step,
            outcome,
            request.floor(),
            applied,
            openedInTerm,
            edge.image().version(),
            attemptStartedAt,
            now()));
  }

  /**
   * Returns the trace of the current request.
   *
   * @return attempts that ended without an answer
   */
  public RequestTrace trace() {
    return trace;
  }

  /** Makes the next attempt after a pause, or as soon as the group's image changes. */
  private void pauseThenRetry() {
    if (now() + pauseMillis >= deadline) {
      fail(
          ErrorCode.NO_MEMBER_AVAILABLE,
          "route",
          current == null ? "" : current.member().name(),
          "no member could take the request in time; it was not run",
          MAX_PAUSE_MILLIS);
      return;
    }
    ticket = edge.waiting().add(request.group(), () -> worker.execute(this::imageChanged));
    if (edge.image().groups().get(request.group()) != routedGroup) {
      // The gateway that refused may have received the newer image first; it has other targets.
      imageChanged();
      return;
    }
    long jitter = edge.jitter(pauseMillis);
    pauseTimer = worker.schedule(pauseMillis + jitter, this::pauseOver);
  }

  private void pauseOver() {
    pauseMillis = Math.min(2 * pauseMillis, MAX_PAUSE_MILLIS);
    retryNow();
  }

  private void imageChanged() {
    if (ticket != 0) {
      pauseMillis = FIRST_PAUSE_MILLIS;
      retryNow();
    }
  }

  private void retryNow() {
    endPause();
    if (active) {
      chooseTargets();
      attempt();
    }
  }

  private void endPause() {
    if (ticket != 0) {
      edge.waiting().remove(request.group(), ticket);
      ticket = 0;
      pauseTimer.dispose();
    }
  }

  // ---- answers ----

  /** Handles a message from a gateway; {@link EdgeNode} passes on those of the current stream. */
  void receive(StreamMessage message) {
    if (!active && !pinned) {
      return;
    }
    lastReceivedMillis = now();
    if (parts.isGapBefore(message)) {
      onBroken("link", "a part of the answer was lost");
    } else if (message instanceof Output output) {
      outputReceived = true;
      listener.output(output.messages());
    } else if (message instanceof UnitDone done) {
      onDone(done);
    } else if (message instanceof Refused refused) {
      onRefused(refused);
    } else if (message instanceof Broken broken) {
      onBroken(broken.step(), broken.detail());
    }
  }

  private void onDone(UnitDone done) {
    active = false;
    pinned = done.open();
    if (request.purpose() == Purpose.READ && !pinned) {
      edge.scores()
          .recordAnswer(
              request.group(), current.member(), now() - attemptStartedAt, done.position(), now());
      edge.countRead(current.member().name(), request.group());
    }
    if (!pinned) {
      endStream();
    }
    listener.done(done.status(), done.position(), done.committed(), done.open());
  }

  private void onRefused(Refused refused) {
    edge.closeStream(streamId);
    pinned = false;
    recordAttempt("admit", refused.refusal().name(), refused.applied());
    switch (refused.refusal()) {
      case OVERLOADED -> {
        overloadRetryMillis = Math.max(1, refused.retryAfterMillis());
        boolean hasOther = nextTarget < targets.size();
        if (hasOther && !edge.retryBudget().tryRetry()) {
          nextTarget = targets.size();
        }
      }
      case BEHIND_FLOOR, NOT_FRESH -> {
        edge.scores().recordBehind(request.group(), current.member(), refused.applied(), now());
        skipMember();
      }
      case UNREACHABLE -> {
        edge.scores().recordFailure(request.group(), current.member(), now());
        skipMember();
      }
      default -> {
        // Another gateway or, after a new image, another primary may accept the request.
      }
    }
    boolean mustWait = refused.refusal() == Refusal.NOT_PRIMARY;
    if (mustWait) {
      pauseThenRetry();
    } else {
      attempt();
    }
  }

  /** Skips the other gateways of the member that was just tried. */
  private void skipMember() {
    while (nextTarget < targets.size()
        && targets.get(nextTarget).member().name().equals(current.member().name())) {
      nextTarget++;
    }
  }

  /** Handles a break of the stream after its unit may have begun to run. */
  void onBroken(String step, String detail) {
    if (!active && !pinned) {
      return;
    }
    recordAttempt(step, detail, TermPosition.ZERO);
    edge.network().send(current.gateway(), new CloseStream(streamId));
    edge.closeStream(streamId);
    boolean wasPinned = pinned;
    pinned = false;
    boolean repeatable = request.purpose() == Purpose.READ && !outputReceived && !wasPinned;
    if (!active) {
      // Between units of a transaction: the caller receives the error with its next request.
      fail(ErrorCode.READ_INTERRUPTED, step, current.gateway(), "transaction lost: " + detail, 0);
      return;
    }
    edge.scores().recordFailure(request.group(), current.member(), now());
    boolean inTime = breaks < MAX_READ_BREAKS && now() < deadline;
    if (repeatable && inTime && edge.retryBudget().tryRetry()) {
      breaks++;
      skipMember();
      attempt();
      return;
    }
    ErrorCode code =
        request.purpose() == Purpose.READ ? ErrorCode.READ_INTERRUPTED : ErrorCode.OUTCOME_UNKNOWN;
    fail(code, step, current.member().name(), detail, 0);
  }

  /** Handles that the current attempt was not delivered to its gateway. */
  void onUndelivered() {
    if (!active || pinned) {
      onBroken("link", "the gateway is unreachable");
      return;
    }
    recordAttempt("link", "the request was not delivered to the gateway", TermPosition.ZERO);
    edge.closeStream(streamId);
    edge.scores().recordFailure(request.group(), current.member(), now());
    attempt();
  }

  // ---- supervision ----

  /** Breaks the stream when its gateway is unresponsive or its primary was replaced. */
  void check(GroupImage group) {
    if (!active && !pinned) {
      return;
    }
    long silence = now() - lastReceivedMillis;
    boolean replaced = request.purpose() == Purpose.WRITE && group.term() > openedInTerm;
    if (replaced && replacedAt == NOT_REPLACED) {
      replacedAt = now();
    }
    // The gateway receives the same image at about the same time, so its refusal may be in flight.
    long sinceReplaced = replaced ? now() - Math.max(replacedAt, lastReceivedMillis) : 0;
    if (silence > edge.settings().gatewaySilenceMillis()) {
      onBroken("gateway", "no message from the gateway for " + silence + " ms");
    } else if (sinceReplaced > edge.settings().replacedGraceMillis()) {
      onBroken("primary-change", "primary of term " + openedInTerm + " was replaced");
    }
  }

  void onKeepAlive() {
    lastReceivedMillis = now();
  }

  String gateway() {
    RouteTarget target = current;
    return target == null ? "" : target.gateway();
  }

  String group() {
    return request.group();
  }

  Worker worker() {
    return worker;
  }

  private void endStream() {
    endPause();
    edge.closeStream(streamId);
    active = false;
    pinned = false;
  }

  private void fail(
      ErrorCode code, String step, String peer, String detail, long retryAfterMillis) {
    endStream();
    listener.failed(new StreamcourseException(code, step, peer, detail, retryAfterMillis, null));
  }
}
