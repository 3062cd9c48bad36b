package org.streamcourse.connection.session;

import java.util.Optional;
import org.streamcourse.request.statement.AnswerCode;
import org.streamcourse.version.image.KeyDigest;
import org.streamcourse.version.image.RouteRule;
import org.streamcourse.version.image.RoutingDocument;
import reactor.core.Disposable;

/**
 * The start of a session: waits for the node's first configuration, then checks the database name
 * and the key.
 *
 * <p>All methods run on the proxy's worker.
 */
final class SessionStart {
  /** Receives the result of the start, once. */
  interface Listener {
    /**
     * Called when the session may run statements.
     *
     * @param database database name
     * @param key digest of the caller's key
     */
    void started(String database, KeyDigest key);

    /**
     * Called when the session is refused.
     *
     * @param code kind of error
     * @param reason error message
     */
    void refused(AnswerCode code, String reason);
  }

  static final String UNKNOWN_KEY = "no tenant has this key";
  static final String KEYS_NOT_CONFIRMED =
      "this node cannot confirm the keys in force; retry-after-ms=500";

  /** A database that the document lacks may have been added since the last confirmation. */
  static final String ROUTES_NOT_CONFIRMED =
      "this node cannot confirm the routes in force; retry-after-ms=500";

  /** Maximum wait for the node's first configuration; callers time out somewhat later. */
  private static final long MAX_WAIT_MILLIS = 1_500;

  private static final long POLL_MILLIS = 30;

  private final SessionNode node;
  private final Listener listener;
  private Disposable timer = () -> {};
  private long waitedMillis;

  SessionStart(SessionNode node, Listener listener) {
    this.node = node;
    this.listener = listener;
  }

  void start(ClientMessage.Start message) {
    if (node.isServing()) {
      check(message);
    } else if (waitedMillis >= MAX_WAIT_MILLIS) {
      listener.refused(
          AnswerCode.BUSY, "this node has no configuration in force yet; retry-after-ms=500");
    } else {
      waitedMillis += POLL_MILLIS;
      timer = node.worker().schedule(POLL_MILLIS, () -> start(message));
    }
  }

  private void check(ClientMessage.Start message) {
    RoutingDocument document = node.image().document();
    Optional<RouteRule> route = document.route(message.database());
    if (route.isEmpty() && !node.isConfirmed()) {
      listener.refused(AnswerCode.BUSY, ROUTES_NOT_CONFIRMED);
    } else if (route.isEmpty()) {
      String version = " in document version " + document.version();
      listener.refused(
          AnswerCode.UNKNOWN_DATABASE, "unknown database " + message.database() + version);
    } else if (!mayCheckKeys(node, route.get())) {
      listener.refused(AnswerCode.BUSY, KEYS_NOT_CONFIRMED);
    } else if (document.callerOf(route.get(), message.key()).isEmpty()) {
      listener.refused(AnswerCode.NOT_ALLOWED, UNKNOWN_KEY);
    } else {
      listener.started(message.database(), message.key());
    }
  }

  /** Returns whether callers' keys for a route can be checked against the document in force. */
  static boolean mayCheckKeys(SessionNode node, RouteRule route) {
    return !route.needsKey() || node.hasConfirmedKeys();
  }

  /** Ends the wait for the node's configuration. */
  void cancel() {
    timer.dispose();
  }
}
