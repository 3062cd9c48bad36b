package org.streamcourse.request.gateway;

import java.util.Optional;
import org.streamcourse.connection.backend.MemberSession;
import org.streamcourse.connection.backend.MemberStatements;
import org.streamcourse.connection.wire.Backend;
import org.streamcourse.connection.wire.Frontend;
import org.streamcourse.connection.wire.WireMessage;
import org.streamcourse.process.ErrorCode;
import org.streamcourse.version.control.MemberStatus;
import org.streamcourse.version.image.TermPosition;

/**
 * Runs a unit that its caller has named, in one transaction with an inserted row that contains the
 * name.
 *
 * <p>The row's primary key allows only one of several units with the same name to commit,
 * regardless of the proxies and primaries through which they run: the row is in the same log record
 * as the unit's writes, so after a change of primary either both exist or neither. Steps: claim the
 * name, run the unit, commit.
 *
 * <p>All methods run on the gateway's worker.
 */
final class NamedRequest {
  /** Table of names in each database; operators create it and remove old rows. */
  static final String TABLE = "streamcourse_requests";

  private static final String UNIQUE_VIOLATION = "23505";

  private enum Step {
    CLAIM,
    COMMIT
  }

  /** Receives the outcome of each step. */
  interface Listener {
    /** The name is claimed; the unit can run. */
    void claimed();

    /** The unit and its name are committed. */
    void committed();

    /** Nothing of the unit was run, since the member is not the primary. */
    void notPrimary();

    /** The transaction was rolled back; the connection is no longer needed. */
    void rolledBack();

    /** The answer to a request that was rolled back has been sent to the edge. */
    void answered();
  }

  private final String name;
  private final MemberGateway gateway;
  private final StreamReplies replies;
  private final Listener listener;
  private Step step = Step.CLAIM;
  private WireMessage error;

  NamedRequest(String name, MemberGateway gateway, StreamReplies replies, Listener listener) {
    this.name = name;
    this.gateway = gateway;
    this.replies = replies;
    this.listener = listener;
  }

  void claim(MemberSession session) {
    step = Step.CLAIM;
    error = null;
    session.send(Frontend.query(claimStatement(name)));
  }

  /**
   * Builds the statements that begin a transaction and claim a name in it.
   *
   * @param name the name, with any characters
   * @return statements
   */
  static String claimStatement(String name) {
    String literal = "'" + name.replace("'", "''") + "'";
    return "BEGIN; INSERT INTO " + TABLE + " (request_key) VALUES (" + literal + ")";
  }

  /** Error message for a request whose name was claimed before; the request was not run again. */
  static byte[] alreadyRunAnswer(String name) {
    return Backend.error(
        "ERROR",
        ErrorCode.REQUEST_ALREADY_RUN.sqlState(),
        "request \"" + name + "\" has run before",
        "code " + ErrorCode.REQUEST_ALREADY_RUN + ", step request-key",
        "");
  }

  void commit(MemberSession session) {
    step = Step.COMMIT;
    error = null;
    session.send(Frontend.query("COMMIT"));
  }

  /** Handles a message of the member during the claim or the commit. */
  void onMessage(WireMessage message) {
    if (message.type() == Backend.ERROR && error == null) {
      error = message;
    } else if (message.type() == Backend.READY) {
      onStepEnded();
    }
  }

  private void onStepEnded() {
    if (error != null) {
      onStepFailed(Backend.sqlState(error));
    } else if (step == Step.CLAIM) {
      listener.claimed();
    } else {
      listener.committed();
    }
  }

  private void onStepFailed(String sqlState) {
    listener.rolledBack();
    if (sqlState.equals(MemberStatements.READ_ONLY)) {
      listener.notPrimary();
    } else if (step == Step.CLAIM && sqlState.equals(UNIQUE_VIOLATION)) {
      gateway.refreshStatus(this::onNameTaken);
    } else {
      replies.output(error.bytes());
      replies.done(Backend.STATUS_IDLE, gateway.status().applied(), false, false);
      listener.answered();
    }
  }

  /** Reports the name as used only once a majority has received the commit of the first run. */
  private void onNameTaken(Optional<MemberStatus> status) {
    if (status.isEmpty()) {
      onFirstRunChecked(false, TermPosition.ZERO);
      return;
    }
    TermPosition position = status.get().received();
    long term = status.get().term();
    gateway.acknowledger().await(term, position, received -> onFirstRunChecked(received, position));
  }

  private void onFirstRunChecked(boolean received, TermPosition position) {
    if (received) {
      replies.output(alreadyRunAnswer(name));
      replies.done(Backend.STATUS_IDLE, position, true, false);
    } else {
      replies.broken("request-key", "the first run of the request was not confirmed at a majority");
    }
    listener.answered();
  }
}
