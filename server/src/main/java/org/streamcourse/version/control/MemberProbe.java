package org.streamcourse.version.control;

import java.util.Optional;
import java.util.function.Consumer;
import org.streamcourse.version.image.RegisteredMember;

/**
 * Requests of controllers to members of a service with synchronous replicas.
 *
 * <p>Each request ends once, on any thread, with the member's status after it. An empty status
 * tells nothing: the member may have carried out the request, may do so later, or may never have
 * received it. Only a reported status shows that a request has taken effect.
 */
public interface MemberProbe {
  /** Sends no requests; for fleets without such services. */
  MemberProbe NONE =
      new MemberProbe() {
        @Override
        public void pause(
            String service,
            RegisteredMember member,
            long term,
            Consumer<Optional<ReplicationStatus>> answer) {
          answer.accept(Optional.empty());
        }

        @Override
        public void stepDown(
            String service,
            RegisteredMember member,
            long term,
            Consumer<Optional<ReplicationStatus>> answer) {
          answer.accept(Optional.empty());
        }

        @Override
        public void resume(
            String service, RegisteredMember member, Consumer<Optional<ReplicationStatus>> answer) {
          answer.accept(Optional.empty());
        }

        @Override
        public void status(
            String service, RegisteredMember member, Consumer<Optional<ReplicationStatus>> answer) {
          answer.accept(Optional.empty());
        }
      };

  /**
   * Pauses the replication at a replica, until the replica is resumed, another member is promoted,
   * or the replica restarts. The end of its log does not change meanwhile.
   *
   * @param service service's name
   * @param member the replica
   * @param term a term above the newest; otherwise the request has no effect
   * @param answer receives the member's status
   */
  void pause(
      String service,
      RegisteredMember member,
      long term,
      Consumer<Optional<ReplicationStatus>> answer);

  /**
   * Makes a primary step down, so that it acknowledges no more commits.
   *
   * @param service service's name
   * @param member the primary
   * @param term a term above the newest; otherwise the request has no effect
   * @param answer receives the member's status
   */
  void stepDown(
      String service,
      RegisteredMember member,
      long term,
      Consumer<Optional<ReplicationStatus>> answer);

  /**
   * Resumes the replication at a paused replica.
   *
   * @param service service's name
   * @param member the replica
   * @param answer receives the member's status
   */
  void resume(
      String service, RegisteredMember member, Consumer<Optional<ReplicationStatus>> answer);

  /**
   * Requests a member's status without changing it.
   *
   * @param service service's name
   * @param member the member
   * @param answer receives the member's status
   */
  void status(
      String service, RegisteredMember member, Consumer<Optional<ReplicationStatus>> answer);
}
