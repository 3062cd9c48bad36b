package org.streamcourse.version.control;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamcourse.version.control.PromotionAgent.Order;
import org.streamcourse.version.control.PromotionAgent.Outcome;
import org.streamcourse.version.control.ServiceCall.MemberHeartbeat;
import org.streamcourse.version.control.ServiceCall.MemberLeaves;
import org.streamcourse.version.control.ServiceCall.ReplaceDocument;
import org.streamcourse.version.control.ServiceCall.Result;
import org.streamcourse.version.control.ServiceCall.Status;
import org.streamcourse.version.image.ClusterChange;
import org.streamcourse.version.image.ClusterChange.DocumentEdited;
import org.streamcourse.version.image.ClusterChange.DocumentReplaced;
import org.streamcourse.version.image.ClusterChange.MemberDeregistered;
import org.streamcourse.version.image.ClusterChange.MemberRegistered;
import org.streamcourse.version.image.ClusterChange.PrimaryObserved;
import org.streamcourse.version.image.ClusterChange.PromotionOrdered;
import org.streamcourse.version.image.ClusterImage;
import org.streamcourse.version.image.MemberId;
import org.streamcourse.version.image.RegisteredMember;
import org.streamcourse.version.image.RoutingDocument;
import org.streamcourse.version.image.ServiceImage;

/**
 * The leader's supervision of services whose members register themselves: handles the operators'
 * documents and the members' heartbeats, and orders a new primary when the present one is
 * unreachable or draining.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>A call is answered as done only once the agreed image contains its effect.
 *   <li>An order is sent only after it is agreed. Its fence is the version of the image that
 *       contains it, so fences increase over all leaders and each order has its own.
 * </ul>
 *
 * All methods run on the controller's worker.
 */
final class ServiceSupervisor {
  private static final Logger LOG = LoggerFactory.getLogger(ServiceSupervisor.class);

  /** Time without an answer after which an order is sent again. */
  private static final long ORDER_ANSWER_MILLIS = 1_000;

  /** Time in which the target of an accepted order has to report that it is primary. */
  private static final long TAKEOVER_MILLIS = 4_000;

  /** Age beyond which a member's claim that it is primary no longer counts. */
  private static final long CLAIM_MILLIS = 4_000;

  /** Time without a heartbeat after which a replica is lost, and a change continues without it. */
  private static final long REPLICA_LOST_MILLIS = 15_000;

  /**
   * Time within which a new leader has received a heartbeat of every running member; members send
   * one each 1,200 ms. A replica that started while no controller was reachable still receives
   * records, which are acknowledged, so it must be paused before the choice.
   */
  private static final long FIRST_HEARTBEATS_MILLIS = 1_500;

  /** Pause after a refused order. */
  private static final long REFUSED_PAUSE_MILLIS = 200;

  /** Time after the start of a leadership before a service without a known primary gets one. */
  private static final long PRIMARY_UNKNOWN_MILLIS = 3_000;

  /** State of the order that is open for one service. */
  private static final class OpenOrder {
    private MemberId target = MemberId.NONE;
    private long fence;
    private long nextStepMillis;
  }

  private final GroupSupervisor.Actions actions;
  private final NodeRegistry registry;
  private final MemberObservers observers = new MemberObservers();
  private final MemberLogs logs;
  private final ControlSettings settings;
  private final PromotionAgent agent;
  private final MemberHeartbeats heartbeats = new MemberHeartbeats();
  private final PendingCalls pendingCalls = new PendingCalls();
  private final Map<String, OpenOrder> orders = new HashMap<>();
  private final ReplicaFences fences;
  private final Set<String> withoutTarget = new HashSet<>();
  private final Consumer<Runnable> onWorker;
  private final DocumentProposals documents;
  private long leadsSince;

  ServiceSupervisor(
      GroupSupervisor.Actions actions,
      NodeRegistry registry,
      ControlSettings settings,
      PromotionAgent agent,
      MemberProbe probe,
      Consumer<Runnable> onWorker) {
    this.actions = actions;
    this.registry = registry;
    this.logs = new MemberLogs(registry);
    this.settings = settings;
    this.agent = agent;
    this.fences = new ReplicaFences(probe, logs, onWorker, actions::now);
    this.onWorker = onWorker;
    this.documents = new DocumentProposals(actions::propose);
  }

  /** Discards all state when a leadership begins or ends. */
  void restart() {
    heartbeats.clear();
    pendingCalls.clear();
    orders.clear();
    fences.restart();
    withoutTarget.clear();
    documents.restart();
    leadsSince = actions.now();
  }

  // ---- calls ----

  void replaceDocument(ClusterImage image, ReplaceDocument call, Consumer<Result> answer) {
    RoutingDocument document = call.document();
    Optional<String> problem = document.problem();
    if (problem.isPresent()) {
      decided(Decision.Kind.DOCUMENT, "document", "operator", document, problem.get());
      answer.accept(new Result(Status.REFUSED, problem.get()));
      return;
    }
    long version = document.version();
    pendingCalls.add(image, next -> next.document().version() >= version, answer);
    if (documents.add(image, document)) {
      decided(Decision.Kind.DOCUMENT, "document", "operator", document, "accepted");
    }
  }

  /** Called when proposed changes could not be stored. */
  void proposalsFailed() {
    documents.failed();
  }

  private void decided(
      Decision.Kind kind, String subject, String cause, RoutingDocument document, String outcome) {
    String inputs =
        "version " + document.version() + " with " + document.routes().size() + " routes";
    actions.decided(kind, subject, cause, inputs, outcome);
  }

  void memberHeartbeat(ClusterImage image, MemberHeartbeat call, Consumer<Result> answer) {
    RegisteredMember member = call.member();
    ServiceImage service = image.service(call.service());
    boolean becamePrimary = heartbeats.isNewPrimary(call);
    boolean late = service.departed().contains(member.id()) || !heartbeats.put(call, actions.now());
    if (late) {
      answer.accept(Result.DONE);
      return;
    }
    RegisteredMember known = service.members().get(member.id());
    RegisteredMember next = known != null && known.draining() ? member.withDraining() : member;
    if (!next.equals(known)) {
      register(image, call.service(), next, known);
    }
    observePrimary(image, service, call, becamePrimary);
    pendingCalls.add(image, agreed -> isRegistered(agreed, call.service(), next), answer);
  }

  private static boolean isRegistered(ClusterImage image, String service, RegisteredMember member) {
    RegisteredMember agreed = image.service(service).members().get(member.id());
    return agreed != null && (agreed.draining() || !member.draining());
  }

  private void register(
      ClusterImage image, String service, RegisteredMember next, RegisteredMember known) {
    removeOthersAt(image, next);
    String outcome = known == null ? "registered" : next.draining() ? "draining" : "changed";
    actions.decided(
        Decision.Kind.MEMBER, service + '/' + next.id(), "its heartbeat", next.toString(), outcome);
    actions.propose(new MemberRegistered(service, next));
  }

  /** Removes members whose address is now used by the member that registered there last. */
  private void removeOthersAt(ClusterImage image, RegisteredMember next) {
    for (ServiceImage service : image.services().values()) {
      for (RegisteredMember other : service.all()) {
        boolean sameAddress = other.host().equals(next.host()) && other.port() == next.port();
        if (sameAddress && !other.id().equals(next.id())) {
          remove(service.name(), other.id(), "its address is used by " + next.id());
        }
      }
    }
  }

  private void remove(String service, MemberId id, String cause) {
    heartbeats.forget(id);
    actions.decided(Decision.Kind.MEMBER, service + '/' + id, cause, "", "removed");
    actions.propose(new MemberDeregistered(service, id));
  }

  /**
   * Records a new primary: a member that became primary since its last heartbeat, or was ordered
   * to. Another claim may be outdated and is ignored while the known primary claims the role too.
   *
   * <p>With synchronous replicas, only the target of an order ends the change, as the order can't
   * be withdrawn: what another primary acknowledges is lost when the order takes effect.
   */
  private void observePrimary(
      ClusterImage image, ServiceImage service, MemberHeartbeat call, boolean becamePrimary) {
    MemberId id = call.member().id();
    boolean known = service.primary().equals(id) && !service.promotion().equals(id);
    if (!call.primary() || known) {
      return;
    }
    if (isSynchronous(image, service) && awaitsOther(service, id)) {
      LOG.info("{}/{} reports that it is primary; the order stands", service.name(), id);
      return;
    }
    boolean expected = becamePrimary || service.promotion().equals(id);
    if (!expected && heartbeats.claimsPrimary(service.primary(), actions.now(), CLAIM_MILLIS)) {
      return;
    }
    actions.decided(
        Decision.Kind.PRIMARY_CHOSEN,
        service.name(),
        "its heartbeat",
        "was " + service.primary(),
        id.toString());
    actions.propose(new PrimaryObserved(service.name(), id, logs.lastTerm(service)));
  }

  /** Returns whether another member has been ordered to become primary. */
  private boolean awaitsOther(ServiceImage service, MemberId id) {
    OpenOrder open = orders.get(service.name());
    boolean proposed = open != null && open.fence == 0 && isInProgress(open);
    MemberId target = proposed ? open.target : service.promotion();
    return target.isPresent() && !target.equals(id);
  }

  private static boolean isSynchronous(ClusterImage image, ServiceImage service) {
    return image.document().service(service.name()).stream()
        .anyMatch(rules -> rules.synchronousReplicas() > 0);
  }

  void memberLeaves(ClusterImage image, MemberLeaves call, Consumer<Result> answer) {
    Optional<ServiceImage> service =
        image.services().values().stream()
            .filter(each -> each.members().containsKey(call.member()))
            .findFirst();
    if (service.isEmpty()) {
      answer.accept(Result.DONE);
      return;
    }
    String name = service.get().name();
    pendingCalls.add(image, next -> next.service(name).member(call.member()).isEmpty(), answer);
    remove(name, call.member(), "it leaves the service");
  }

  /** Answers the calls whose effect is now agreed, and sends an agreed order. */
  void applied(ClusterChange change, ClusterImage image) {
    pendingCalls.applied(image);
    if (change instanceof DocumentReplaced replaced) {
      documents.applied(replaced.document().version(), image);
    } else if (change instanceof DocumentEdited edited) {
      documents.applied(edited.edit().version(), image);
    } else if (change instanceof PromotionOrdered ordered) {
      ServiceImage service = image.service(ordered.service());
      if (service.promotion().equals(ordered.target()) && service.fence() == image.version()) {
        sendOrder(service);
      }
    } else if (change instanceof PrimaryObserved observed) {
      orders.remove(observed.service());
      // A member that became primary without an order has not resumed the paused replicas.
      fences.release(image.service(observed.service()));
    }
  }

  // ---- changes of primary ----

  /** Checks the primary of each service. */
  void check(ClusterImage image) {
    observers.setImage(image);
    for (ServiceImage service : image.services().values()) {
      checkPrimary(service, isSynchronous(image, service));
    }
  }

  private void checkPrimary(ServiceImage service, boolean synchronous) {
    boolean ordered = synchronous && service.promotion().isPresent();
    if (ordered) {
      fences.hold(service, isPrimaryReachable(service));
    }
    OpenOrder open = orders.get(service.name());
    if (open != null && !mayOrder(service, open)) {
      return;
    }
    String cause = ordered ? "an order is open" : causeForChange(service, synchronous);
    if (cause.isEmpty()) {
      abandonChange(service, synchronous);
      return;
    }
    Optional<MemberId> target = synchronous ? fencedTarget(service) : chooseTarget(service);
    if (target.isEmpty()) {
      waitForTarget(service, cause);
      return;
    }
    withoutTarget.remove(service.name());
    if (open != null && open.target.equals(target.get()) && isInProgress(open)) {
      return;
    }
    OpenOrder next = new OpenOrder();
    next.target = target.get();
    next.nextStepMillis = actions.now() + ORDER_ANSWER_MILLIS;
    orders.put(service.name(), next);
    actions.decided(
        Decision.Kind.PRIMARY_CHANGE_STARTED,
        service.name(),
        cause,
        inputs(service),
        "orders " + next.target);
    actions.propose(new PromotionOrdered(service.name(), next.target));
  }

  private String inputs(ServiceImage service) {
    return "primary "
        + service.primary()
        + ", fence "
        + service.fence()
        + ", logs "
        + logs.describe(service);
  }

  private void waitForTarget(ServiceImage service, String cause) {
    if (withoutTarget.add(service.name())) {
      actions.decided(
          Decision.Kind.PRIMARY_CHANGE_STARTED,
          service.name(),
          cause,
          inputs(service),
          "waits for a member that may become primary");
    }
  }

  /** Abandons a change that was not ordered yet, since the primary is reachable again. */
  private void abandonChange(ServiceImage service, boolean synchronous) {
    withoutTarget.remove(service.name());
    fences.release(service);
    if (synchronous) {
      fences.resumeOnce(service);
    }
    fences.advanceResumption(service);
  }

  /**
   * Returns the member to promote. An order is repeated for the same target, since the first one
   * may still take effect: two successors in turn could not have each other's commits.
   */
  private Optional<MemberId> fencedTarget(ServiceImage service) {
    boolean ordered = service.promotion().isPresent() && !isLost(service.promotion());
    Optional<MemberId> latest =
        ordered
            ? Optional.of(service.promotion())
            : fences.choose(service, isPrimaryReachable(service), this::isLost);
    boolean allRegistered = actions.now() - leadsSince >= FIRST_HEARTBEATS_MILLIS;
    return allRegistered ? latest : Optional.empty();
  }

  /** Returns false also for a silent primary: nodes don't connect to a draining member any more. */
  private boolean isPrimaryReachable(ServiceImage service) {
    MemberId primary = service.primary();
    return service.member(primary).isPresent()
        && !isUnreachable(service, primary)
        && !isLost(primary);
  }

  private boolean isLost(MemberId id) {
    return heartbeats.millisSinceHeartbeat(id, actions.now(), leadsSince) > REPLICA_LOST_MILLIS;
  }

  /**
   * Returns whether an order may follow: the open one has timed out or its target is unavailable.
   */
  private boolean mayOrder(ServiceImage service, OpenOrder open) {
    boolean targetGone =
        service.member(open.target).isEmpty() || isUnreachable(service, open.target);
    return targetGone || !isInProgress(open);
  }

  private boolean isInProgress(OpenOrder open) {
    return actions.now() < open.nextStepMillis;
  }

  /** Returns the reason why the service needs another primary; empty when it needs none. */
  private String causeForChange(ServiceImage service, boolean synchronous) {
    if (service.all().isEmpty()) {
      return "";
    }
    Optional<RegisteredMember> primary = service.member(service.primary());
    if (primary.isEmpty()) {
      boolean wait =
          !service.departed().contains(service.primary())
              && actions.now() - leadsSince < PRIMARY_UNKNOWN_MILLIS;
      return isClaimed(service) || wait ? "" : "no primary is known";
    }
    if (primary.get().draining()) {
      return "the primary is draining";
    }
    if (synchronous && heartbeats.reportsReplica(service.primary()) && !isClaimed(service)) {
      return "the primary has stepped down";
    }
    return isUnreachable(service, service.primary()) ? "the primary is unreachable" : "";
  }

  private boolean isClaimed(ServiceImage service) {
    return service.all().stream()
        .anyMatch(each -> heartbeats.claimsPrimary(each.id(), actions.now(), CLAIM_MILLIS));
  }

  /**
   * Returns whether a member counts as unreachable: no node has recently reported it as reachable,
   * and at least half of the nodes that observe it report it as unreachable.
   */
  private boolean isUnreachable(ServiceImage service, MemberId id) {
    NodeRegistry.MemberReachability reachability =
        registry.reachabilityOf(
            service.name(),
            id.value(),
            actions.now(),
            settings.gatewaySilenceMillis(),
            settings.heartbeatMillis() * 3 / 2,
            observers.of(service, id));
    return reachability.reachable() == 0
        && reachability.unreachable() > 0
        && 2 * reachability.unreachable() >= reachability.observers();
  }

  /**
   * Returns the member whose log ends latest among those neither draining nor unreachable. A former
   * primary that may not follow the present one is left out, since it would bring back dropped
   * records that clients could not read in the meantime, until the present primary counts as lost.
   */
  private Optional<MemberId> chooseTarget(ServiceImage service) {
    return service.all().stream()
        .filter(each -> !each.draining() && !each.id().equals(service.primary()))
        .filter(each -> !isUnreachable(service, each.id()))
        .filter(each -> logs.follows(service, each.id()) || isLost(service.primary()))
        .max(
            Comparator.comparing((RegisteredMember each) -> logs.received(service, each.id()))
                .thenComparing(RegisteredMember::id))
        .map(RegisteredMember::id);
  }

  private void sendOrder(ServiceImage service) {
    OpenOrder open = orders.computeIfAbsent(service.name(), any -> new OpenOrder());
    open.target = service.promotion();
    open.fence = service.fence();
    open.nextStepMillis = actions.now() + ORDER_ANSWER_MILLIS;
    Order order = new Order(service.name(), open.target, open.fence);
    agent.order(order, outcome -> onWorker.accept(() -> onOutcome(order, outcome)));
  }

  private void onOutcome(Order order, Outcome outcome) {
    actions.decided(
        Decision.Kind.PROMOTION,
        order.service(),
        "answer of the promotion agent",
        "target " + order.target() + ", fence " + order.fence(),
        outcome.toString());
    OpenOrder open = orders.get(order.service());
    if (open == null || open.fence != order.fence()) {
      return;
    }
    open.nextStepMillis =
        actions.now()
            + switch (outcome) {
              case ACCEPTED -> TAKEOVER_MILLIS;
              case REFUSED -> REFUSED_PAUSE_MILLIS;
              case UNANSWERED -> 0;
            };
  }
}
