package org.streamcourse.request.statement;

/** State of a session after an answer. */
public enum SessionState {
  /** No transaction is open. */
  IDLE,
  /** A transaction is open. */
  TRANSACTION,
  /** A transaction has failed; only its commit or rollback is accepted. */
  FAILED
}
