package org.streamcourse.connection.session;

import java.util.ArrayDeque;
import java.util.Deque;
import org.streamcourse.request.statement.Answer;
import org.streamcourse.request.statement.AnswerCode;
import org.streamcourse.request.statement.SessionState;
import org.streamcourse.request.statement.StatementRequest;
import org.streamcourse.version.image.KeyDigest;

/**
 * The session of one caller: its messages, the statements that wait, and its end. {@link
 * SessionExecutor} executes the statements, one after the other.
 *
 * <p>Invariant: each statement gets exactly one answer, and no answer is sent without a statement.
 *
 * <p>All methods run on the proxy's worker.
 */
public final class ClientSession {
  private static final int MAX_QUEUED_STATEMENTS = 64;

  private final SessionNode node;
  private final ClientChannel channel;
  private final long number;
  private final Deque<StatementRequest> queued = new ArrayDeque<>();
  private final SessionStart start;

  /** Executes the statements; null until the session has started. */
  private SessionExecutor executor;

  private boolean draining;
  private boolean ended;

  /**
   * Creates a session that has not started.
   *
   * @param node services of the node
   * @param channel connection of the caller
   * @param number number of the session on this node
   */
  public ClientSession(SessionNode node, ClientChannel channel, long number) {
    this.node = node;
    this.channel = channel;
    this.number = number;
    this.start = new SessionStart(node, new StartResult());
  }

  // ---- messages from the caller ----

  /**
   * Handles a message.
   *
   * @param message received message
   */
  public void receive(ClientMessage message) {
    if (ended) {
      return;
    }
    if (message instanceof ClientMessage.Start request) {
      start(request);
    } else if (message instanceof ClientMessage.Query query) {
      query(query.request());
    } else if (message instanceof ClientMessage.Unreadable unreadable) {
      refuse(unreadable.code(), unreadable.reason());
    } else {
      end();
    }
  }

  private void start(ClientMessage.Start message) {
    if (executor != null) {
      refuse(AnswerCode.MALFORMED, "the session has started already");
    } else {
      start.start(message);
    }
  }

  /** Receives the result of the session's start. */
  private final class StartResult implements SessionStart.Listener {
    @Override
    public void started(String database, KeyDigest key) {
      executor = new SessionExecutor(node, number, database, key, ClientSession.this::answered);
      channel.welcome();
    }

    @Override
    public void refused(AnswerCode code, String reason) {
      refuse(code, reason);
    }
  }

  private void refuse(AnswerCode code, String reason) {
    refuse(Answer.error(code, reason, SessionState.IDLE));
  }

  private void refuse(Answer error) {
    String database = executor == null ? "" : executor.database();
    node.log().session(number, database, error.code() + ": " + error.text());
    channel.refuse(error);
    end();
  }

  private void query(StatementRequest request) {
    if (executor == null) {
      refuse(AnswerCode.MALFORMED, "the session has not started");
    } else if (!executor.isRunning()) {
      executor.execute(request);
    } else if (queued.size() < MAX_QUEUED_STATEMENTS) {
      queued.addLast(request);
    } else {
      refuse(AnswerCode.TOO_LARGE, "more than " + MAX_QUEUED_STATEMENTS + " statements are queued");
    }
  }

  /** Ends a connection whose caller has not started a session within the time allowed. */
  public void endUnlessStarted() {
    if (executor == null) {
      end();
    }
  }

  /** Called when the caller's connection has closed. */
  public void disconnected() {
    end();
  }

  /** Ends the session as soon as no statement is running and no transaction is open. */
  public void drain() {
    draining = true;
    endIfDrained();
  }

  /**
   * Refuses statements from now on, because the process exits soon. An open transaction can still
   * be rolled back, and committed if the commit's time-out ends before the exit.
   *
   * @param exitMillis worker time at which the process exits
   */
  public void refuseStatements(long exitMillis) {
    if (executor != null) {
      executor.refuseStatements(exitMillis);
    }
  }

  /** Answers all statements that have no answer yet, and ends the session. */
  public void terminate() {
    if (executor != null) {
      // Statements that are queued behind the running one are refused one after the other.
      executor.giveUp();
    }
    if (!ended && executor != null && executor.state() == SessionState.TRANSACTION) {
      refuse(
          Answer.refusal(AnswerCode.ABORTED, SessionExecutor.STOPPING, Answer.RETRY_AFTER_MILLIS));
    } else {
      end();
    }
  }

  /** Returns whether a transaction is open and no statement is running. */
  public boolean hasIdleTransaction() {
    return executor != null && executor.hasTransaction() && !executor.isRunning();
  }

  /** Returns whether a transaction is open and a statement is running. */
  public boolean hasRunningTransaction() {
    return executor != null && executor.hasTransaction() && executor.isRunning();
  }

  private void answered(Answer answer) {
    channel.answer(answer);
    StatementRequest next = queued.pollFirst();
    if (next != null) {
      executor.execute(next);
    } else {
      endIfDrained();
    }
  }

  private void endIfDrained() {
    boolean idle = executor == null || !executor.isRunning() && !executor.hasTransaction();
    if (draining && idle) {
      end();
    }
  }

  private void end() {
    if (ended) {
      return;
    }
    ended = true;
    start.cancel();
    if (executor != null) {
      executor.close();
    }
    channel.close();
    node.ended(this);
  }
}
