package org.streamcourse.version.agreement;

/** Applies committed commands in log order, in the same way on each controller. */
public interface StateMachine {
  /**
   * Applies a committed command.
   *
   * @param index index of the log entry
   * @param command encoded command
   */
  void apply(long index, byte[] command);

  /**
   * Encodes the whole state.
   *
   * @return bytes for {@link #restore}
   */
  byte[] snapshot();

  /**
   * Replaces the whole state.
   *
   * @param state what {@link #snapshot} returned
   */
  void restore(byte[] state);

  /**
   * Called when this controller has become leader and has applied all entries that earlier leaders
   * committed.
   *
   * @param term leader's term
   */
  void leadershipStarted(long term);

  /**
   * Called at the leader when proposed commands could not be stored; they are not in the log and
   * may be proposed again.
   */
  default void proposalsFailed() {}

  /** Called when this controller has stopped being leader. */
  void leadershipEnded();
}
