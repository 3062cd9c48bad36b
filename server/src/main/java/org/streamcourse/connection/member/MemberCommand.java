package org.streamcourse.connection.member;

import org.streamcourse.request.statement.PreparedShape;
import org.streamcourse.request.statement.StatementId;
import org.streamcourse.version.image.MemberId;
import org.streamcourse.version.image.TenantId;
import org.streamcourse.version.image.TermPosition;

/** A command to a member. Each command gets exactly one answer, in order. */
public sealed interface MemberCommand {
  /**
   * Introduces this node; the first command on a connection.
   *
   * @param service service to which the expected member belongs
   * @param member expected identity of the member
   * @param tenant tenant whose statements the connection carries
   */
  record Introduce(String service, MemberId member, TenantId tenant) implements MemberCommand {}

  /**
   * A caller's statement.
   *
   * @param id identity of the statement
   * @param text text of the statement
   * @param floor position that the member's log must have reached, or null
   */
  record Run(StatementId id, String text, TermPosition floor) implements MemberCommand {}

  /**
   * A caller's execution of a prepared statement.
   *
   * @param id identity of the caller's statement
   * @param name name under which the statement is prepared on this connection
   * @param arguments the rest of the caller's text
   * @param floor position that the member's log must have reached, or null
   */
  record RunPrepared(StatementId id, String name, String arguments, TermPosition floor)
      implements MemberCommand {}

  /**
   * Begins a transaction.
   *
   * @param readOnly whether a replica may run it
   * @param floor position that the member's log must have reached, or null
   */
  record BeginTransaction(boolean readOnly, TermPosition floor) implements MemberCommand {}

  /** Rolls back the open transaction. */
  record RollBack() implements MemberCommand {}

  /** Drops session values and prepared names. */
  record ResetSession() implements MemberCommand {}

  /**
   * Sets a session value.
   *
   * @param name name of the value
   * @param value new value
   */
  record SetSessionValue(String name, String value) implements MemberCommand {}

  /**
   * Prepares a statement.
   *
   * @param name name of the prepared statement on this connection
   * @param shape statement to prepare
   */
  record PrepareStatement(String name, PreparedShape shape) implements MemberCommand {}

  /**
   * Stops a replica from receiving log entries.
   *
   * @param term a term higher than the newest one
   */
  record PauseReceiving(long term) implements MemberCommand {}

  /**
   * Makes a primary a replica.
   *
   * @param term a term higher than the newest one
   */
  record StepDown(long term) implements MemberCommand {}

  /** Lets a replica receive log entries again. */
  record ResumeReceiving() implements MemberCommand {}

  /** Requests the member's status. */
  record ReportStatus() implements MemberCommand {}
}
