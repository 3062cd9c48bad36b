package org.streamcourse.version.control;

import java.util.Optional;
import java.util.function.Consumer;
import org.streamcourse.version.image.RegisteredMember;
import org.streamcourse.version.image.TermPosition;

/** Requests of controllers to members of a service with synchronous replicas. */
public interface MemberProbe {
  /** Sends no requests; for fleets without such services. */
  MemberProbe NONE =
      new MemberProbe() {
        @Override
        public void pause(
            String service,
            RegisteredMember member,
            long term,
            Consumer<Optional<TermPosition>> received) {
          received.accept(Optional.empty());
        }

        @Override
        public void stepDown(String service, RegisteredMember member, long term, Runnable done) {
          done.run();
        }

        @Override
        public void resume(String service, RegisteredMember member) {}
      };

  /**
   * Pauses the replication at a replica, until the replica is resumed, another member is promoted,
   * or the replica restarts.
   *
   * @param service service's name
   * @param member the replica
   * @param term a term above the newest
   * @param received receives the end of the replica's log, which does not change while it is
   *     paused; empty when the member did not confirm; called once, on any thread
   */
  void pause(
      String service,
      RegisteredMember member,
      long term,
      Consumer<Optional<TermPosition>> received);

  /**
   * Makes a primary step down, so that it acknowledges no more commits.
   *
   * @param service service's name
   * @param member the primary
   * @param term a term above the newest
   * @param done runs once, when the member has answered or the request has timed out; on any thread
   */
  void stepDown(String service, RegisteredMember member, long term, Runnable done);

  /**
   * Resumes the replication at a paused replica.
   *
   * @param service service's name
   * @param member the replica
   */
  void resume(String service, RegisteredMember member);
}
