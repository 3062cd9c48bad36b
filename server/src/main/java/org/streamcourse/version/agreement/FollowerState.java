package org.streamcourse.version.agreement;

/** State of a follower, with or without a known leader. */
final class FollowerState implements RoleState {
  /** Identity of the leader, or null while none is known in this term. */
  private String leader;

  String leader() {
    return leader;
  }

  void setLeader(String identity) {
    leader = identity;
  }
}
