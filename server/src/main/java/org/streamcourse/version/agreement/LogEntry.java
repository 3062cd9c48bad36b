package org.streamcourse.version.agreement;

/**
 * One entry of the replicated log.
 *
 * @param index position in the log, from 1
 * @param term term of the leader that created the entry
 * @param kind type of the payload
 * @param payload encoded command or voter set; empty for a no-op
 */
public record LogEntry(long index, long term, Kind kind, byte[] payload) {
  /** Type of an entry's payload. */
  public enum Kind {
    /** First entry of a leader's term, without a payload. */
    NO_OP,
    /** A command for the state machine. */
    COMMAND,
    /** A new {@link VoterSet}. */
    VOTERS
  }
}
