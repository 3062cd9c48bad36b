package org.streamcourse.version.image;

/**
 * A member that registered itself by heartbeats.
 *
 * @param id identity of this incarnation of the member
 * @param host IP address
 * @param port TCP port
 * @param zone zone of the member
 * @param slots maximum number of statements that the member runs at the same time
 * @param draining true once the member has announced that it is shutting down; it gets no new work
 */
public record RegisteredMember(
    MemberId id, String host, int port, String zone, int slots, boolean draining) {
  /**
   * Marks the member as draining.
   *
   * @return draining member
   */
  public RegisteredMember withDraining() {
    return new RegisteredMember(id, host, port, zone, slots, true);
  }
}
