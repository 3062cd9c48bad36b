package org.streamcourse.version.control;

import java.util.Optional;
import java.util.function.Consumer;
import org.streamcourse.version.image.RegisteredMember;
import org.streamcourse.version.image.TermPosition;

/** Questions of controllers to members of a service with synchronous replicas. */
public interface MemberProbe {
  /** Asks nobody; for fleets without such services. */
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
   * Keeps a replica from receiving more of its primary's log, until it is resumed, another member
   * is promoted, or it restarts.
   *
   * @param service service's name
   * @param member the replica
   * @param term a term above the newest
   * @param received gets the end of its log, which stays as it is from then on; empty when the
   *     member did not confirm; called once, on any thread
   */
  void pause(
      String service,
      RegisteredMember member,
      long term,
      Consumer<Optional<TermPosition>> received);

  /**
   * Takes the lead from a primary, so that it acknowledges nothing more.
   *
   * @param service service's name
   * @param member the primary
   * @param term a term above the newest
   * @param done runs once, when the member has answered or can't be expected to; on any thread
   */
  void stepDown(String service, RegisteredMember member, long term, Runnable done);

  /**
   * Lets a replica receive again.
   *
   * @param service service's name
   * @param member the replica
   */
  void resume(String service, RegisteredMember member);
}
