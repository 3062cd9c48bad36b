package org.streamcourse.connection.frontend;

import static net.logstash.logback.argument.StructuredArguments.keyValue;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamcourse.process.LineBudget;
import org.streamcourse.process.StreamcourseException;
import org.streamcourse.request.edge.RequestTrace;
import org.streamcourse.version.image.NodeImage;

/**
 * Logs the failed requests of one session: a line for each attempt, and one with code, step and
 * peer. Under overload many requests are refused, so the number of failed requests that a node logs
 * in a second is limited.
 *
 * <p>A request id consists of the node's name, its incarnation in base 36, the session's number and
 * the request's number in the session, so it is unique across nodes and restarts.
 */
final class RequestLog {
  private static final Logger LOG = LoggerFactory.getLogger(RequestLog.class);
  private static final int INCARNATION_RADIX = 36;

  private final String session;
  private final String database;
  private final LineBudget budget;
  private long request;

  RequestLog(NodeImage node, long number, String database, LineBudget budget) {
    this.session =
        node.name() + '-' + Long.toString(node.incarnation(), INCARNATION_RADIX) + '-' + number;
    this.database = database;
    this.budget = budget;
  }

  /** Assigns the next id to a request that starts. */
  void requestStarted() {
    request++;
  }

  /** Returns the id of the current request. */
  String requestId() {
    return session + '-' + request;
  }

  /** Logs the failure of the current request and its attempts. */
  void requestFailed(StreamcourseException error, RequestTrace trace, long nowMillis) {
    if (!budget.take()) {
      return;
    }
    logDroppedLines();
    trace.attempts().forEach(each -> logAttempt(each, nowMillis));
    LOG.info(
        "request failed: {} {} {} {} {} {} {} {}",
        error.getMessage(),
        keyValue("request", requestId()),
        keyValue("database", database),
        keyValue("code", error.code()),
        keyValue("step", error.step()),
        keyValue("peer", error.peer()),
        keyValue("attemptsNotTold", trace.omitted()),
        keyValue("tookMillis", nowMillis - trace.startedMillis()));
  }

  private void logAttempt(RequestTrace.Attempt attempt, long nowMillis) {
    LOG.info(
        "request attempt {} {} {} {} {} {} {} {} {} {} {} {}",
        keyValue("request", requestId()),
        keyValue("database", database),
        keyValue("member", attempt.member()),
        keyValue("gateway", attempt.gateway()),
        keyValue("step", attempt.step()),
        keyValue("outcome", attempt.outcome()),
        keyValue("floor", attempt.floor()),
        keyValue("applied", attempt.applied()),
        keyValue("term", attempt.term()),
        keyValue("imageVersion", attempt.imageVersion()),
        keyValue("startedMillisAgo", nowMillis - attempt.startedMillis()),
        keyValue("tookMillis", attempt.endedMillis() - attempt.startedMillis()));
  }

  private void logDroppedLines() {
    long dropped = budget.takeDropped();
    if (dropped > 0) {
      LOG.warn("lines dropped {}", keyValue("lines", dropped));
    }
  }
}
