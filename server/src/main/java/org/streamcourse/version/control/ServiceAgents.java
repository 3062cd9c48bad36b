package org.streamcourse.version.control;

/**
 * External services that controllers call for services whose members register themselves.
 *
 * @param promotion agent that makes a member primary
 * @param probe sends requests to members
 */
public record ServiceAgents(PromotionAgent promotion, MemberProbe probe) {
  /** For fleets without such services. */
  public static final ServiceAgents NONE =
      new ServiceAgents(
          (order, outcome) -> outcome.accept(PromotionAgent.Outcome.UNANSWERED), MemberProbe.NONE);
}
