package org.streamcourse.request.routing;

import static net.logstash.logback.argument.StructuredArguments.keyValue;

import java.util.EnumMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamcourse.connection.member.HolderListener;
import org.streamcourse.connection.relay.RelayMessage;
import org.streamcourse.process.LineBudget;
import org.streamcourse.request.statement.Answer;
import org.streamcourse.request.statement.AnswerCode;
import org.streamcourse.version.image.MemberId;
import org.streamcourse.version.image.TermPosition;

/**
 * Logs the decisions about callers' statements: one line for each refusal, failure and change of
 * member, and one for each completed statement of a sample. Every line contains the statement's id;
 * no line contains text or rows of a statement.
 *
 * <p>All methods run on the proxy's worker.
 */
public final class RequestLog {
  private static final Logger LOG = LoggerFactory.getLogger("org.streamcourse.request");

  private final LineBudget budget;
  private final int sampleEvery;
  private final Map<AnswerCode, Long> outcomes = new EnumMap<>(AnswerCode.class);
  private StatementObserver observer = StatementObserver.NONE;
  private long reroutes;
  private long holderRetries;
  private long refusedForOthers;
  private long leftOut;
  private long lateRetries;
  private long lateRetriesDenied;
  private long lowerPositions;

  /**
   * Creates a log.
   *
   * @param budget bounds the number of lines
   * @param sampleEvery one of this many completed statements is logged, selected by statement id; 0
   *     for none
   */
  public RequestLog(LineBudget budget, int sampleEvery) {
    this.budget = budget;
    this.sampleEvery = sampleEvery;
  }

  /**
   * Sets the observer of statement times.
   *
   * @param next observer, called on the proxy's worker
   */
  public void observe(StatementObserver next) {
    observer = next;
  }

  /** Returns the observer of statement times. */
  StatementObserver observer() {
    return observer;
  }

  /**
   * Logs and counts the final answer to a statement.
   *
   * @param context the statement
   * @param answer the answer
   * @param tookMillis time since the statement arrived
   */
  public void answered(StatementContext context, Answer answer, long tookMillis) {
    outcomes.merge(answer.code(), 1L, Long::sum);
    observer.answered(answer.code(), tookMillis);
    boolean sampled =
        sampleEvery > 0 && Math.floorMod(context.request().id().hashCode(), sampleEvery) == 0;
    if ((!answer.isComplete() || sampled) && budget.take()) {
      LOG.info(
          "statement answered {} {} {} {} {} {}",
          keyValue("request", context.traceId()),
          keyValue("database", context.route().database()),
          keyValue("outcome", answer.code()),
          keyValue("detail", answer.isComplete() ? "" : answer.text()),
          keyValue("position", answer.position()),
          keyValue("tookMillis", tookMillis));
    }
  }

  /**
   * Logs that a member did not run a statement, or that a read failed there; the statement is sent
   * again, waits for a change of the image, or is answered with an error.
   */
  void notRun(
      StatementContext context,
      MemberId member,
      AnswerCode code,
      StatementPlan plan,
      int attempts) {
    reroutes++;
    if (budget.take()) {
      LOG.info(
          "statement not run by member {} {} {} {} {}",
          keyValue("request", context.traceId()),
          keyValue("member", member),
          keyValue("answer", code),
          keyValue("plan", plan),
          keyValue("attempts", attempts));
    }
  }

  /**
   * Logs that a member was not chosen for a read, because it has not reached the read's floor or
   * leaves all requests unanswered.
   *
   * @param context the read
   * @param member estimates for the member that was left out
   * @param knownMillis age of the data behind these estimates
   * @param chosen member that was chosen
   */
  void leftOut(
      StatementContext context,
      MemberChoice.Candidate member,
      long knownMillis,
      MemberChoice.Candidate chosen) {
    leftOut++;
    if (budget.take()) {
      LOG.info(
          "member left out {} {} {} {} {} {} {}",
          keyValue("request", context.traceId()),
          keyValue("member", member.id()),
          keyValue("catchUpMillis", member.catchUpMillis()),
          keyValue("silentMillis", member.silentMillis()),
          keyValue("knownMillis", knownMillis),
          keyValue("chosen", chosen.id()),
          keyValue("chosenFinishMillis", Math.round(chosen.finishMillis())));
    }
  }

  /**
   * Logs that a read's answer is late. The read is sent to another member as well if the retry
   * budget allows it.
   *
   * @param context the read
   * @param member member whose answer is outstanding
   * @param waitedMillis time since the read was sent to the member
   * @param allowed whether the read is sent to another member
   */
  void late(StatementContext context, MemberId member, long waitedMillis, boolean allowed) {
    if (allowed) {
      lateRetries++;
    } else {
      lateRetriesDenied++;
    }
    if (budget.take()) {
      LOG.info(
          "answer is late {} {} {} {}",
          keyValue("request", context.traceId()),
          keyValue("member", member),
          keyValue("waitedMillis", waitedMillis),
          keyValue("asksAnother", allowed));
    }
  }

  /** Returns a listener that logs failures of holders to run a statement. */
  HolderListener holderListener(StatementContext context) {
    return new HolderListener() {
      @Override
      public void notRun(
          String holder, long stream, boolean handedOver, String cause, boolean asksAnother) {
        holderRetries += asksAnother ? 1 : 0;
        if (budget.take()) {
          LOG.info(
              "statement not run by holder {} {} {} {} {} {}",
              keyValue("request", context.traceId()),
              keyValue("holder", holder),
              keyValue("stream", stream),
              keyValue("handedOver", handedOver),
              keyValue("cause", cause),
              keyValue("asksAnother", asksAnother));
        }
      }

      @Override
      public void lost(String holder, long stream, String cause) {
        if (budget.take()) {
          LOG.info(
              "statement lost at holder {} {} {} {}",
              keyValue("request", context.traceId()),
              keyValue("holder", holder),
              keyValue("stream", stream),
              keyValue("cause", cause));
        }
      }
    };
  }

  /**
   * Logs that this node, as a holder, granted no connection for another node's statement; nothing
   * was run.
   *
   * @param open message that opened the stream
   * @param sender node that sent the statement
   * @param cause why no connection was granted
   */
  public void refusedForOther(RelayMessage.Open open, String sender, String cause) {
    refusedForOthers++;
    if (budget.take()) {
      LOG.info(
          "relayed statement not run {} {} {} {} {}",
          keyValue("request", open.firstStatement()),
          keyValue("sender", sender),
          keyValue("stream", open.stream()),
          keyValue("member", open.member()),
          keyValue("cause", cause));
    }
  }

  /**
   * Logs that another node's stream ended at this holder with an answer outstanding.
   *
   * @param open message that opened the stream
   * @param sender node that sent the statement
   * @param hadLink whether a connection was granted, so that the member may have run the statement
   * @param cause why the stream ended
   */
  public void endedUnanswered(
      RelayMessage.Open open, String sender, boolean hadLink, String cause) {
    if (budget.take()) {
      LOG.info(
          "relayed statement ended unanswered {} {} {} {} {} {}",
          keyValue("request", open.firstStatement()),
          keyValue("sender", sender),
          keyValue("stream", open.stream()),
          keyValue("member", open.member()),
          keyValue("hadLink", hadLink),
          keyValue("cause", cause));
    }
  }

  /**
   * Logs that an operation was not run because its tenant's limit is used up.
   *
   * @param context statement of the operation
   * @param cause state of the limit
   */
  public void overLimit(StatementContext context, String cause) {
    if (budget.take()) {
      LOG.info(
          "statement over limit {} {} {}",
          keyValue("request", context.traceId()),
          keyValue("tenant", context.tenant()),
          keyValue("cause", cause));
    }
  }

  /**
   * Logs that the answer of a primary contained a lower log position than its service's primary had
   * before the statement was sent: the primary has changed, or the position is of another service.
   *
   * @param context statement that was answered
   * @param member member that answered
   * @param position log position in the answer
   * @param known newest position known when the statement was sent
   */
  void lowerPosition(
      StatementContext context, MemberId member, TermPosition position, TermPosition known) {
    lowerPositions++;
    if (budget.take()) {
      LOG.warn(
          "log position of primary lower than known {} {} {} {} {}",
          keyValue("request", context.traceId()),
          keyValue("service", context.route().service()),
          keyValue("member", member),
          keyValue("position", position),
          keyValue("known", known));
    }
  }

  /** Logs that this node answers a statement with an error of its own. */
  void refused(
      StatementContext context,
      AnswerCode code,
      String cause,
      StatementPlan plan,
      long waitedMillis) {
    if (budget.take()) {
      LOG.info(
          "statement given up {} {} {} {} {}",
          keyValue("request", context.traceId()),
          keyValue("outcome", code),
          keyValue("cause", cause),
          keyValue("plan", plan),
          keyValue("waitedMillis", waitedMillis));
    }
  }

  /**
   * Logs that a session began or could not begin, or that this node ended a transaction.
   *
   * @param session session's number on this node
   * @param database database name
   * @param decision what was decided
   */
  public void session(long session, String database, String decision) {
    if (budget.take()) {
      LOG.info(
          "session {} {} {}",
          keyValue("session", session),
          keyValue("database", database),
          keyValue("decided", decision));
    }
  }

  /** Logs the number of lines dropped by the budget; must be called about once a second. */
  public void logDropped() {
    long dropped = budget.takeDropped();
    if (dropped > 0) {
      LOG.warn("lines dropped {}", keyValue("lines", dropped));
    }
  }

  /**
   * Counts final answers with a code.
   *
   * @param code code of the answers
   * @return count since the start
   */
  public long count(AnswerCode code) {
    return outcomes.getOrDefault(code, 0L);
  }

  /**
   * Counts the times that a statement was sent to another holder after one did not run it.
   *
   * @return count since the start
   */
  public long holderRetries() {
    return holderRetries;
  }

  /**
   * Counts other nodes' statements for which this node, as a holder, granted no connection.
   *
   * @return count since the start
   */
  public long refusedForOthers() {
    return refusedForOthers;
  }

  /**
   * Counts the times that a member was left out of the choice for a read.
   *
   * @return count since the start
   */
  public long leftOut() {
    return leftOut;
  }

  /**
   * Counts reads that were sent to a second member because their answer was late.
   *
   * @return count since the start
   */
  public long lateRetries() {
    return lateRetries;
  }

  /**
   * Counts reads whose answer was late and for which the retry budget was spent.
   *
   * @return count since the start
   */
  public long lateRetriesDenied() {
    return lateRetriesDenied;
  }

  /**
   * Counts log positions of primaries that were lower than the newest one known for the service.
   *
   * @return count since the start
   */
  public long lowerPositions() {
    return lowerPositions;
  }

  /**
   * Counts the times that a member did not run a statement or failed a read.
   *
   * @return count since the start
   */
  public long reroutes() {
    return reroutes;
  }
}
