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

/**
 * Tells what was decided about callers' statements: one line for each refusal, failure and change
 * of member, and one for each completed statement among a sample. A statement's id stands in every
 * line; no text or row of it does.
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
  private long otherHolders;
  private long refusedForOthers;
  private long leftOut;
  private long triedElsewhere;
  private long triesDenied;

  /**
   * Creates a log.
   *
   * @param budget bounds the lines
   * @param sampleEvery of how many statement ids one is told when it completes; 0 for none
   */
  public RequestLog(LineBudget budget, int sampleEvery) {
    this.budget = budget;
    this.sampleEvery = sampleEvery;
  }

  /**
   * Sets who hears how long statements take.
   *
   * @param next hears it on the proxy's worker
   */
  public void observe(StatementObserver next) {
    observer = next;
  }

  /** Returns who hears how long the stages of statements take. */
  StatementObserver observer() {
    return observer;
  }

  /**
   * A statement got its final answer.
   *
   * @param context the statement
   * @param answer the answer
   * @param tookMillis time since it came
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

  /** A member did not run a statement, or a read of it failed, and another way is looked for. */
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
   * A member was left out, since it lacks what a read needs or owes answers to all.
   *
   * @param context the read
   * @param member what is known of the member
   * @param knownMillis age of that knowledge
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
   * A read's answer is late, and another member is asked as well if the budget allows it.
   *
   * @param context the read
   * @param member member that owes the answer
   * @param waitedMillis time since it was sent there
   * @param allowed whether another is asked
   */
  void late(StatementContext context, MemberId member, long waitedMillis, boolean allowed) {
    if (allowed) {
      triedElsewhere++;
    } else {
      triesDenied++;
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

  /** Returns what tells how holders of connections fail for a statement. */
  HolderListener holderListener(StatementContext context) {
    return new HolderListener() {
      @Override
      public void notRun(
          String holder, long stream, boolean handedOver, String cause, boolean asksAnother) {
        otherHolders += asksAnother ? 1 : 0;
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
   * This node holds connections and gives none for another node's statement; nothing was run.
   *
   * @param open the stream's beginning
   * @param sender node that has the statement
   * @param cause why
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
   * Another node's stream ends here with an answer owed.
   *
   * @param open the stream's beginning
   * @param sender node that has the statement
   * @param hadLink whether a connection was granted, so that the member may have been asked
   * @param cause what happened
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
   * An operation was not run since its tenant has used up its limit here.
   *
   * @param context its statement
   * @param cause what was known of the limit
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

  /** This node gives a statement up. */
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
   * A session began or could not begin, or a transaction was ended by this node.
   *
   * @param session session's number on this node
   * @param database database name
   * @param what what was decided
   */
  public void session(long session, String database, String what) {
    if (budget.take()) {
      LOG.info(
          "session {} {} {}",
          keyValue("session", session),
          keyValue("database", database),
          keyValue("decided", what));
    }
  }

  /** Tells the lines that were dropped; to be called about once a second. */
  public void tellDropped() {
    long dropped = budget.takeDropped();
    if (dropped > 0) {
      LOG.warn("lines dropped {}", keyValue("lines", dropped));
    }
  }

  /**
   * Counts answers.
   *
   * @param code how they ended
   * @return count since the start
   */
  public long count(AnswerCode code) {
    return outcomes.getOrDefault(code, 0L);
  }

  /**
   * Counts the times that another holder of connections was asked.
   *
   * @return count since the start
   */
  public long otherHolders() {
    return otherHolders;
  }

  /**
   * Counts other nodes' statements for which this node gave no connection.
   *
   * @return count since the start
   */
  public long refusedForOthers() {
    return refusedForOthers;
  }

  /**
   * Counts the times that a member was left out of a read's choice.
   *
   * @return count since the start
   */
  public long leftOut() {
    return leftOut;
  }

  /**
   * Counts reads that another member was asked for since their answer was late.
   *
   * @return count since the start
   */
  public long triedElsewhere() {
    return triedElsewhere;
  }

  /**
   * Counts reads whose answer was late and for which the budget of repeats allowed none.
   *
   * @return count since the start
   */
  public long triesDenied() {
    return triesDenied;
  }

  /**
   * Counts the times that another member was looked for.
   *
   * @return count since the start
   */
  public long reroutes() {
    return reroutes;
  }
}
