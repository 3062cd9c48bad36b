package org.streamcourse.version.agreement;

/** A state machine without state, for tests of the replicated log alone. */
final class EmptyStateMachine implements StateMachine {
  @Override
  public void apply(long index, byte[] command) {}

  @Override
  public byte[] snapshot() {
    return new byte[0];
  }

  @Override
  public void restore(byte[] state) {}

  @Override
  public void leadershipStarted(long term) {}

  @Override
  public void leadershipEnded() {}
}
