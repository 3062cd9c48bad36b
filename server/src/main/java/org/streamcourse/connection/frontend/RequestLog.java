package org.streamcourse.connection.frontend;

import static net.logstash.logback.argument.StructuredArguments.keyValue;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamcourse.process.LineBudget;
import org.streamcourse.process.StreamcourseException;
import org.streamcourse.request.edge.RequestTrace;
import org.streamcourse.version.image.NodeImage;

/**
 * Logs the errors of one session's requests: a line for each attempt, and one with code, step and
 * peer. Under overload many requests are not run, so the failed requests that a node tells in a
 * second are bounded.
 *
 * <p>A request's id is the node's name, its incarnation in base 36, the session's number and the
 * number of the request in it, so it is unique over nodes and restarts.
 */
final class RequestLog {
  private static final Logger LOG = LoggerFactory.getLogger(RequestLog.class);
  private static final int BASE = 36;

  private final String session;
  private final String database;
  private final LineBudget budget;
  private long request;

  RequestLog(NodeImage node, long number, String database, LineBudget budget) {
    this.session = node.name() + '-' + Long.toString(node.incarnation(), BASE) + '-' + number;
    this.database = database;
    this.budget = budget;
  }

  /** Counts a request that starts. */
  void started() {
    request++;
  }

  /** Returns the id of the present request. */
  String requestId() {
    return session + '-' + request;
  }

  /** Logs how the present request failed, and what was tried before. */
  void failed(StreamcourseException error, RequestTrace trace, long nowMillis) {
    if (!budget.take()) {
      return;
    }
    tellDropped();
    trace.attempts().forEach(each -> attempted(each, nowMillis));
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

  private void attempted(RequestTrace.Attempt attempt, long nowMillis) {
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

  private void tellDropped() {
    long dropped = budget.takeDropped();
    if (dropped > 0) {
      LOG.warn("lines dropped {}", keyValue("lines", dropped));
    }
  }
}
