package org.streamcourse.version.control;

/**
 * One decision of the controllers, for operators.
 *
 * @param atMillis worker time in milliseconds at which the decision was taken
 * @param kind what was decided
 * @param subject group, member or node concerned
 * @param cause reason for the decision
 * @param inputs state that the decision was based on
 * @param outcome action that follows
 */
public record Decision(
    long atMillis, Kind kind, String subject, String cause, String inputs, String outcome) {
  /** Kinds of decisions. */
  public enum Kind {
    /** A change of primary was started. */
    PRIMARY_CHANGE_STARTED,
    /** A primary was chosen. */
    PRIMARY_CHOSEN,
    /** A planned change of primary was abandoned. */
    SWITCHOVER_ABANDONED,
    /** A node was admitted. */
    NODE_ADMITTED,
    /** A node was declared lost or has left. */
    NODE_REMOVED,
    /** The allowances of a member's gateways were changed. */
    ALLOWANCES_SET,
    /** A member was drained because the platform lists it as leaving. */
    PLATFORM_LEAVING,
    /** An operator's command was accepted or refused. */
    COMMAND,
    /** A routing document was proposed or refused. */
    DOCUMENT,
    /** A member registered itself, started draining or was removed. */
    MEMBER,
    /** The promotion agent answered an order to make a member primary. */
    PROMOTION
  }
}
