package org.streamcourse.connection.backend;

import java.util.List;

/** One connection of a {@link MemberPool}. */
public final class PoolEntry {
  private final MemberSession session;
  private List<String> settings = List.of();

  PoolEntry(MemberSession session) {
    this.session = session;
  }

  /**
   * Returns the connection.
   *
   * @return connection, to be used only by the request to which the entry was granted
   */
  public MemberSession session() {
    return session;
  }

  /**
   * Returns the statements that set the session parameters in force on the connection.
   *
   * @return statements in the order in which they ran
   */
  public List<String> settings() {
    return settings;
  }

  /**
   * Records the session parameters that were set.
   *
   * @param inForce statements that set them
   */
  public void settingsApplied(List<String> inForce) {
    settings = List.copyOf(inForce);
  }
}
