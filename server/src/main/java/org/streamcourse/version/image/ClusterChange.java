package org.streamcourse.version.image;

import java.util.List;

/**
 * A change that leads from one version of the image to the next. Applying the same changes in the
 * same order gives the same image on each process.
 */
public sealed interface ClusterChange {
  /** A change that an operator requested; only these increase the configuration version. */
  sealed interface ConfigurationChange extends ClusterChange {}

  /**
   * Creates a group.
   *
   * @param group new group, without a primary
   */
  record GroupCreated(GroupImage group) implements ConfigurationChange {}

  /**
   * Drops a group.
   *
   * @param group group's name
   */
  record GroupDropped(String group) implements ConfigurationChange {}

  /**
   * Changes a group's session rules.
   *
   * @param group group's name
   * @param rules new rules
   */
  record RulesChanged(String group, GroupRules rules) implements ConfigurationChange {}

  /**
   * Changes a member's limits.
   *
   * @param group group's name
   * @param member member's name
   * @param connections maximum number of connections
   * @param slots maximum number of running statements
   */
  record LimitsChanged(String group, String member, int connections, int slots)
      implements ConfigurationChange {}

  /**
   * Drains or restores a member.
   *
   * @param group group's name
   * @param member member's name
   * @param draining true to drain
   */
  record MemberDrained(String group, String member, boolean draining)
      implements ConfigurationChange {}

  /**
   * Drains or restores a node.
   *
   * @param node node's name
   * @param draining true to drain
   */
  record NodeDrained(String node, boolean draining) implements ConfigurationChange {}

  /**
   * Admits a node or a new incarnation of a node.
   *
   * @param node the node
   */
  record NodeAdmitted(NodeImage node) implements ClusterChange {}

  /**
   * Removes a lost or stopped node.
   *
   * @param node node's name
   * @param incarnation incarnation that was lost or has stopped
   */
  record NodeRemoved(String node, long incarnation) implements ClusterChange {}

  /**
   * Opens a term, in which the group has no primary until one is chosen.
   *
   * @param group group's name
   * @param term new term
   */
  record TermOpened(String group, long term) implements ClusterChange {}

  /**
   * Sets the primary of an opened term.
   *
   * @param group group's name
   * @param term the term
   * @param member primary's name
   */
  record PrimaryChosen(String group, long term, String member) implements ClusterChange {}

  /**
   * Opens a term and sets its primary in one step, for a planned change of primary whose target has
   * the complete log. Has no effect unless its term is the current one plus 1.
   *
   * @param group group's name
   * @param term new term
   * @param member primary's name
   */
  record PrimaryHandedOver(String group, long term, String member) implements ClusterChange {}

  /**
   * Sets the allowances of one member.
   *
   * @param group group's name
   * @param member member's name
   * @param allowances complete new list
   */
  record AllowancesSet(String group, String member, List<Allowance> allowances)
      implements ClusterChange {}

  /**
   * Replaces the operators' document. Has no effect unless its version is higher than the current.
   *
   * @param document new document
   */
  record DocumentReplaced(RoutingDocument document) implements ClusterChange {}

  /**
   * Changes the operators' document. Has no effect unless the document has the edit's base version.
   *
   * @param edit difference to the new document
   */
  record DocumentEdited(DocumentEdit edit) implements ClusterChange {}

  /**
   * Registers a member of a service, or updates a registered one.
   *
   * @param service service's name
   * @param member new state of the member
   */
  record MemberRegistered(String service, RegisteredMember member) implements ClusterChange {}

  /**
   * Removes a member that has deregistered or is lost.
   *
   * @param service service's name
   * @param member member's identity
   */
  record MemberDeregistered(String service, MemberId member) implements ClusterChange {}

  /**
   * Records which member of a service is primary.
   *
   * @param service service's name
   * @param member the primary
   * @param formerTerm term of the last known log record of the former primary; 0 when none is known
   */
  record PrimaryObserved(String service, MemberId member, long formerTerm)
      implements ClusterChange {}

  /**
   * Records the order that a member become primary. The version of the image that first includes
   * this change is the order's fence.
   *
   * @param service service's name
   * @param target member to promote
   */
  record PromotionOrdered(String service, MemberId target) implements ClusterChange {}

  /**
   * Changes shares of tenants' limits. Only controllers keep these shares, so this does not change
   * the image. Each tenant and holder is sent by name once, which assigns it the next index, and by
   * that index from then on: a grant takes 3 to 6 bytes instead of 40, and every controller
   * receives all grants.
   *
   * @param basedOn number of the grant that must be the newest; otherwise the change has no effect
   * @param tenants tenants that have no index yet
   * @param holders holders that have no index yet
   * @param grants for each grant the indexes of tenant and holder, and the new share
   */
  record QuotaGranted(long basedOn, List<TenantId> tenants, List<QuotaHolder> holders, int[] grants)
      implements ClusterChange {}
}
