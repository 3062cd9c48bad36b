package org.streamcourse.version.control;

import java.util.Optional;
import org.streamcourse.version.control.ControlMessage.MemberOrderResult;
import org.streamcourse.version.control.ControlMessage.MemberReport;
import org.streamcourse.version.control.ControlMessage.OrderKind;
import org.streamcourse.version.image.ClusterChange;
import org.streamcourse.version.image.GroupImage;
import org.streamcourse.version.image.MemberImage;

/**
 * Supervises one group at the leader and changes the group's primary.
 *
 * <p>A change has these steps: open a term in the replicated log; fence a majority of the members
 * at that term; choose the fenced member whose log ends latest; record this choice in the
 * replicated log; promote the member. An acknowledged commit was received by a majority under its
 * term, any two majorities have a member in common, and a fenced member accepts no more records of
 * older terms; so the chosen member's log contains every acknowledged commit.
 *
 * <p>All state of the supervisor may be lost with the leadership: the next leader finds the opened
 * term in the image and fences again. Promotion needs no state either: the supervisor always
 * compares each member's report with the image and sends an order where they differ.
 */
final class GroupSupervisor {
  /** Actions of the controller that supervisors and node admission use. */
  interface Actions {
    long now();

    long nextOrderId();

    void sendOrder(String gateway, ControlMessage.MemberOrder order);

    void propose(ClusterChange change);

    void decided(Decision.Kind kind, String subject, String cause, String inputs, String outcome);
  }

  private final String group;
  private final ControlSettings settings;
  private final NodeRegistry registry;
  private final Actions actions;
  private final MemberOrders orders;
  private FencedMembers fenced = new FencedMembers(0);
  private long proposedTerm;
  private long choiceProposedForTerm;
  private long watchedSince;
  private long watchedTerm = -1;
  private long nextHandOverMillis;
  private Switchover switchover;

  GroupSupervisor(String group, ControlSettings settings, NodeRegistry registry, Actions actions) {
    this.group = group;
    this.settings = settings;
    this.registry = registry;
    this.actions = actions;
    this.orders = new MemberOrders(group, settings, registry, actions);
    this.watchedSince = actions.now();
  }

  /** Returns whether a change of primary is in progress, so that steps may be due soon. */
  boolean isChanging(GroupImage image) {
    return image.primary().isEmpty() || switchover != null || watchedTerm != image.term();
  }

  /** Checks the group and takes the next step, if any. */
  void check(GroupImage image) {
    if (watchedTerm != image.term()) {
      watchedTerm = image.term();
      watchedSince = actions.now();
      orders.clear();
    }
    if (image.primary().isEmpty()) {
      changePrimary(image);
      return;
    }
    if (switchover == null) {
      handOverFromDrainingPrimary(image);
    }
    if (switchover != null) {
      advanceSwitchover(image);
    }
    if (proposedTerm <= image.term() && primaryHasFailed(image)) {
      openTerm(image, "primary " + image.primary() + " is not reachable");
      return;
    }
    if (proposedTerm <= image.term() && switchover == null && hasFencesOfLaterTerm(image)) {
      openTerm(image, "a previous leader has fenced members for a planned change");
      return;
    }
    alignMembers(image);
  }

  /** Starts a planned change; returns the reason for a refusal, or empty. */
  Optional<String> startSwitchover(GroupImage image, String target) {
    Optional<MemberImage> member = image.member(target);
    if (member.isEmpty()) {
      return Optional.of("group '" + group + "' has no member '" + target + "'");
    }
    if (member.get().draining()) {
      return Optional.of("member '" + target + "' is draining: restore it first");
    }
    if (image.primary().isEmpty() || switchover != null) {
      return Optional.of("a change of primary of group '" + group + "' is in progress");
    }
    if (image.primary().equals(target)) {
      return Optional.of("member '" + target + "' is already the primary");
    }
    if (!reachable(member.get())) {
      return Optional.of("member '" + target + "' is not reachable");
    }
    beginSwitchover(image, target, "operator");
    return Optional.empty();
  }

  private void beginSwitchover(GroupImage image, String target, String cause) {
    switchover = new Switchover(image, target, actions.now(), orders);
    actions.decided(
        Decision.Kind.PRIMARY_CHANGE_STARTED,
        group,
        cause,
        "from " + image.primary() + " to " + target,
        "writes are held");
  }

  /**
   * Starts a planned change if the primary is draining. A draining member becomes primary only when
   * no other member has the latest log.
   */
  private void handOverFromDrainingPrimary(GroupImage image) {
    if (image.primaryMember().map(MemberImage::draining).orElse(false)) {
      handOver(image, "the primary is draining");
    }
  }

  /**
   * Starts a planned change to the first reachable member that is not draining, unless a change is
   * in progress or was tried within {@link ControlSettings#holdWritesMillis()}.
   */
  void handOver(GroupImage image, String cause) {
    if (switchover != null || actions.now() < nextHandOverMillis) {
      return;
    }
    nextHandOverMillis = actions.now() + settings.holdWritesMillis();
    image.members().stream()
        .filter(each -> !each.draining() && !each.name().equals(image.primary()))
        .filter(this::reachable)
        .findFirst()
        .ifPresent(each -> beginSwitchover(image, each.name(), cause));
  }

  /** Returns whether an order with this number has no result yet. */
  boolean awaits(long orderId) {
    return orders.awaits(orderId);
  }

  /** Handles the result of an order; the status in it counts as a report by the member itself. */
  void orderResult(GroupImage image, MemberOrderResult result) {
    MemberOrders.Sent order = orders.removeAnswered(result.orderId()).orElse(null);
    if (order == null || !result.done()) {
      return;
    }
    registry.onOrderAnswer(
        order.gateway(),
        new MemberReport(group, order.member(), true, result.status()),
        actions.now());
    if (order.kind() == OrderKind.FENCE) {
      fenceConfirmed(image, order, result.status());
    } else if (order.kind() == OrderKind.HOLD_WRITES && switchover != null) {
      switchover.onWritesHeld(order.gateway(), result.status().received());
      advanceSwitchover(image);
    }
  }

  private void fenceConfirmed(GroupImage image, MemberOrders.Sent order, MemberStatus status) {
    if (status.term() != order.term()) {
      return;
    }
    boolean unplanned = image.primary().isEmpty() && fenced.term() == image.term();
    if (unplanned && order.term() == image.term()) {
      fenced.add(image, order.member(), status.received(), actions.now());
      chooseWhenReady(image);
    } else if (switchover != null && order.term() == switchover.nextTerm()) {
      switchover
          .onFenced(image, order.member(), status.received(), actions.now())
          .ifPresent(this::proposeHandOver);
      advanceSwitchover(image);
    }
  }

  /**
   * Restarts the time for which the present primary has been watched, as after a change of leader.
   */
  void restartWatching() {
    watchedSince = actions.now();
  }

  // ---- unplanned change ----

  private boolean primaryHasFailed(GroupImage image) {
    MemberImage primary = image.primaryMember().orElse(null);
    if (primary == null || primary.allowances().isEmpty() || !majorityReachable(image)) {
      return false;
    }
    long watchedFor = actions.now() - watchedSince;
    Optional<MemberReport> report = freshReport(primary);
    if (report.isEmpty()) {
      // Missing reports count as a failure only after a while; a report of a loss counts at once.
      return watchedFor >= settings.gatewaySilenceMillis();
    }
    if (!report.get().reachable()) {
      return true;
    }
    boolean tookOver =
        report.get().status().term() == image.term()
            && report.get().status().role() == MemberRole.PRIMARY;
    // After a planned change has started to fence, the primary may report that it is fenced; the
    // planned change has a time limit of its own.
    boolean deposed = switchover != null && switchover.isFencing();
    return !tookOver && !deposed && watchedFor > settings.promotionMillis();
  }

  private boolean majorityReachable(GroupImage image) {
    long reachable = image.members().stream().filter(this::reachable).count();
    return reachable >= image.majority();
  }

  private boolean reachable(MemberImage member) {
    return freshReport(member).map(MemberReport::reachable).orElse(false);
  }

  private Optional<MemberReport> freshReport(MemberImage member) {
    return registry.freshReport(
        member.gateways(), group, member.name(), actions.now(), settings.gatewaySilenceMillis());
  }

  private void openTerm(GroupImage image, String cause) {
    proposedTerm = image.term() + 1;
    actions.decided(
        Decision.Kind.PRIMARY_CHANGE_STARTED,
        group,
        cause,
        describeReports(image),
        "opens term " + proposedTerm);
    actions.propose(new ClusterChange.TermOpened(group, proposedTerm));
  }

  private void changePrimary(GroupImage image) {
    if (image.term() == 0) {
      if (proposedTerm == 0 && majorityReachable(image)) {
        openTerm(image, "the group has no primary yet");
      }
      return;
    }
    if (fenced.term() != image.term()) {
      fenced = new FencedMembers(image.term());
    }
    chooseWhenReady(image);
    if (choiceProposedForTerm == image.term()) {
      return;
    }
    for (MemberImage member : image.members()) {
      if (!fenced.contains(member.name())) {
        orders.toOneGateway(member, OrderKind.FENCE, image.term(), "");
      }
    }
  }

  /**
   * Chooses once a majority is fenced, after a short wait for a preferred member to be fenced too.
   */
  private void chooseWhenReady(GroupImage image) {
    if (!fenced.isMajority(image) || choiceProposedForTerm == image.term()) {
      return;
    }
    String candidate = fenced.best(image, switchover == null ? "" : switchover.target());
    boolean graceOver =
        fenced.isComplete(image)
            || actions.now() - fenced.majorityAtMillis() >= settings.fenceGraceMillis();
    if (graceOver || isPreferred(image, candidate)) {
      choose(image, candidate);
    }
  }

  /**
   * Returns whether a candidate is chosen without a wait: the target of a planned change, or
   * without such a target a member that is not draining.
   */
  private boolean isPreferred(GroupImage image, String candidate) {
    return switchover == null
        ? !FencedMembers.isDraining(image, candidate)
        : candidate.equals(switchover.target());
  }

  private void choose(GroupImage image, String chosen) {
    choiceProposedForTerm = image.term();
    switchover = null;
    actions.decided(
        Decision.Kind.PRIMARY_CHOSEN,
        group,
        "its log ends latest among the fenced majority",
        fenced.toString(),
        chosen + " in term " + image.term());
    actions.propose(new ClusterChange.PrimaryChosen(group, image.term(), chosen));
  }

  // ---- planned change ----

  private void advanceSwitchover(GroupImage image) {
    if (switchover.term() != image.term()) {
      switchover = null;
      return;
    }
    String obstacle = obstacle(image);
    if (obstacle.isEmpty()) {
      switchover.advance(image);
    } else if (!switchover.isFencing()) {
      abandonSwitchover(image, obstacle);
    } else if (proposedTerm <= image.term()) {
      // Fences can't be undone, so the change continues as an unplanned one.
      openTerm(image, obstacle);
    }
  }

  /** Returns the reason why a planned change can't continue; empty when there is none. */
  private String obstacle(GroupImage image) {
    if (actions.now() - switchover.startedAtMillis() > settings.holdWritesMillis()) {
      return "open transactions or the replica did not finish within "
          + settings.holdWritesMillis()
          + " ms";
    }
    boolean targetReachable = image.member(switchover.target()).map(this::reachable).orElse(false);
    return targetReachable ? "" : "member " + switchover.target() + " is not reachable";
  }

  private void abandonSwitchover(GroupImage image, String cause) {
    actions.decided(
        Decision.Kind.SWITCHOVER_ABANDONED,
        group,
        cause,
        describeReports(image),
        "writes are released");
    switchover = null;
    image
        .primaryMember()
        .ifPresent(
            primary -> orders.toEachGateway(primary, OrderKind.RELEASE_WRITES, image.term()));
  }

  private void proposeHandOver(String chosen) {
    actions.decided(
        Decision.Kind.PRIMARY_CHOSEN,
        group,
        "planned change: its log ends latest among the fenced majority",
        switchover.fenced().toString(),
        chosen + " in term " + switchover.nextTerm());
    actions.propose(new ClusterChange.PrimaryHandedOver(group, switchover.nextTerm(), chosen));
  }

  /**
   * Returns whether members are fenced at a later term than the image's: a previous leader has
   * started a planned change.
   */
  private boolean hasFencesOfLaterTerm(GroupImage image) {
    return image.members().stream()
        .flatMap(member -> freshReport(member).stream())
        .anyMatch(report -> report.reachable() && report.status().term() > image.term());
  }

  // ---- roles ----

  /** Sends orders to each reachable member whose state differs from the image. */
  private void alignMembers(GroupImage image) {
    for (MemberImage member : image.members()) {
      MemberReport report = freshReport(member).orElse(null);
      if (report == null || !report.reachable()) {
        continue;
      }
      MemberStatus status = report.status();
      if (status.term() > image.term()) {
        continue;
      }
      if (member.name().equals(image.primary())) {
        if (status.term() < image.term() || status.role() != MemberRole.PRIMARY) {
          orders.toOneGateway(member, OrderKind.PROMOTE, image.term(), image.primary());
        }
      } else if (status.term() < image.term() || !status.upstream().equals(image.primary())) {
        orders.toOneGateway(member, OrderKind.FOLLOW, image.term(), image.primary());
      }
    }
  }

  private String describeReports(GroupImage image) {
    StringBuilder text = new StringBuilder();
    for (MemberImage member : image.members()) {
      String state =
          freshReport(member)
              .map(report -> (report.reachable() ? "up " : "down ") + report.status().received())
              .orElse("no report");
      text.append(text.length() == 0 ? "" : ", ").append(member.name()).append(": ").append(state);
    }
    return text.toString();
  }
}
