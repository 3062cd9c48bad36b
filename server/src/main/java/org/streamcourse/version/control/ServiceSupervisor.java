package org.streamcourse.version.control;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.streamcourse.version.control.PromotionAgent.Order;
import org.streamcourse.version.control.PromotionAgent.Outcome;
import org.streamcourse.version.control.ServiceCall.MemberHeartbeat;
import org.streamcourse.version.control.ServiceCall.MemberLeaves;
import org.streamcourse.version.control.ServiceCall.ReplaceDocument;
import org.streamcourse.version.control.ServiceCall.Result;
import org.streamcourse.version.control.ServiceCall.Status;
import org.streamcourse.version.image.ClusterChange;
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
 * The leader's work for services whose members register themselves: it takes the operators'
 * document and the members' signs of life, and has a new primary ordered when the present one is
 * unreachable or leaves.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>A call is answered as done only once the image, as agreed, shows its effect.
 *   <li>An order is given only after it is agreed; its fence is the version of the image that
 *       includes it, so fences rise over all leaders and no two orders share one.
 * </ul>
 *
 * All methods run on the controller's worker.
 */
final class ServiceSupervisor {
  /** Time without an answer after which an order is given anew. */
  private static final long ORDER_ANSWER_MILLIS = 1_000;

  /** Time that a target of an accepted order has to call itself primary. */
  private static final long TAKEOVER_MILLIS = 4_000;

  /** Age beyond which a member's word that it is primary no longer counts. */
  private static final long CLAIM_MILLIS = 4_000;

  /** Silence after which a replica counts as lost for good, so that a change may go on without. */
  private static final long REPLICA_LOST_MILLIS = 15_000;

  /**
   * Time within which every member that runs has told a new leader of itself: their heartbeats come
   * every 1,200 ms. A replica that started while no controller could be told receives all the same,
   * and what it has received is acknowledged, so it must be paused before the choice.
   */
  private static final long MEMBERS_TELL_MILLIS = 1_500;

  /** Time that replicas have to receive what they lack; some ways between regions and a disk. */
  private static final long CATCH_UP_MILLIS = 500;

  /** Pause after a refused order. */
  private static final long REFUSED_PAUSE_MILLIS = 200;

  /** Time after the start of a leadership before a service without a known primary gets one. */
  private static final long PRIMARY_UNKNOWN_MILLIS = 3_000;

  /** Whom an answer waits for. */
  private record Waiting(Predicate<ClusterImage> done, Consumer<Result> answer) {}

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
  private final MemberProbe probe;
  private final MemberSigns signs = new MemberSigns();
  private final List<Waiting> waiting = new ArrayList<>();
  private final Map<String, OpenOrder> orders = new HashMap<>();
  private final Map<String, ReplicaFence> fences = new HashMap<>();
  private final Set<String> withoutTarget = new HashSet<>();
  private final Map<String, Long> catchUpUntil = new HashMap<>();
  private final Set<String> resumed = new HashSet<>();
  private final Consumer<Runnable> onWorker;
  private long proposedDocument = -1;
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
    this.probe = probe;
    this.onWorker = onWorker;
  }

  /** Forgets everything, as a leadership begins or ends. */
  void restart() {
    signs.clear();
    waiting.clear();
    orders.clear();
    fences.clear();
    withoutTarget.clear();
    catchUpUntil.clear();
    resumed.clear();
    proposedDocument = -1;
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
    whenAgreed(image, next -> next.document().version() >= document.version(), answer);
    boolean newer = document.version() > image.document().version();
    if (newer && document.version() > proposedDocument) {
      proposedDocument = document.version();
      decided(Decision.Kind.DOCUMENT, "document", "operator", document, "proposed");
      actions.propose(new DocumentReplaced(document));
    }
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
    boolean becamePrimary = signs.isNewPrimary(call);
    boolean late = service.departed().contains(member.id()) || !signs.heard(call, actions.now());
    if (late) {
      answer.accept(Result.DONE);
      return;
    }
    RegisteredMember known = service.members().get(member.id());
    RegisteredMember next = known != null && known.draining() ? member.withDraining() : member;
    if (!next.equals(known)) {
      register(image, call.service(), next, known);
    }
    observePrimary(service, call, becamePrimary);
    whenAgreed(image, agreed -> isRegistered(agreed, call.service(), next), answer);
  }

  private static boolean isRegistered(ClusterImage image, String service, RegisteredMember member) {
    RegisteredMember agreed = image.service(service).members().get(member.id());
    return agreed != null && (agreed.draining() || !member.draining());
  }

  private void register(
      ClusterImage image, String service, RegisteredMember next, RegisteredMember known) {
    removeFormerAt(image, next);
    String outcome = known == null ? "registered" : next.draining() ? "draining" : "changed";
    actions.decided(
        Decision.Kind.MEMBER, service + '/' + next.id(), "its heartbeat", next.toString(), outcome);
    actions.propose(new MemberRegistered(service, next));
  }

  /** An address belongs to the member that registered there last. */
  private void removeFormerAt(ClusterImage image, RegisteredMember next) {
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
    signs.forget(id);
    actions.decided(Decision.Kind.MEMBER, service + '/' + id, cause, "", "removed");
    actions.propose(new MemberDeregistered(service, id));
  }

  /**
   * A member that has become primary is the primary. Of one that may have been it before, a late
   * heartbeat counts for nothing while the known primary says that it is.
   */
  private void observePrimary(ServiceImage service, MemberHeartbeat call, boolean becamePrimary) {
    MemberId id = call.member().id();
    if (!call.primary() || service.primary().equals(id)) {
      return;
    }
    boolean expected = becamePrimary || service.promotion().equals(id);
    if (!expected && signs.claimsPrimary(service.primary(), actions.now(), CLAIM_MILLIS)) {
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
    whenAgreed(image, next -> next.service(name).member(call.member()).isEmpty(), answer);
    remove(name, call.member(), "it leaves");
  }

  private void whenAgreed(
      ClusterImage image, Predicate<ClusterImage> done, Consumer<Result> answer) {
    if (done.test(image)) {
      answer.accept(Result.DONE);
    } else {
      waiting.add(new Waiting(done, answer));
    }
  }

  /** Answers the calls whose effect is agreed now, and gives an agreed order. */
  void applied(ClusterChange change, ClusterImage image) {
    for (Waiting each : List.copyOf(waiting)) {
      if (each.done().test(image)) {
        waiting.remove(each);
        each.answer().accept(Result.DONE);
      }
    }
    if (change instanceof PromotionOrdered ordered) {
      ServiceImage service = image.service(ordered.service());
      if (service.promotion().equals(ordered.target()) && service.fence() == image.version()) {
        give(service);
      }
    } else if (change instanceof PrimaryObserved observed) {
      orders.remove(observed.service());
      // A primary that was chosen without an order has not resumed its replicas.
      releaseFence(image.service(observed.service()));
    }
  }

  // ---- changes of primary ----

  /** Looks after the primary of each service. */
  void check(ClusterImage image) {
    observers.use(image);
    for (ServiceImage service : image.services().values()) {
      boolean synchronous =
          image.document().service(service.name()).stream()
              .anyMatch(rules -> rules.synchronousReplicas() > 0);
      checkPrimary(service, synchronous);
    }
  }

  private void checkPrimary(ServiceImage service, boolean synchronous) {
    OpenOrder open = orders.get(service.name());
    if (open != null && !mayOrderAgain(service, open)) {
      return;
    }
    String cause = causeForChange(service);
    if (cause.isEmpty()) {
      giveUp(service);
      if (synchronous) {
        resumeOnce(service);
      }
      return;
    }
    Optional<MemberId> target = synchronous ? fencedTarget(service) : chooseTarget(service);
    if (target.isEmpty()) {
      waitForTarget(service, cause);
      return;
    }
    withoutTarget.remove(service.name());
    if (open != null && open.target.equals(target.get()) && isUnderWay(open)) {
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
          "waits for a member that may lead");
    }
  }

  /** The primary is well again before a change was ordered. */
  private void giveUp(ServiceImage service) {
    withoutTarget.remove(service.name());
    releaseFence(service);
  }

  /**
   * A leader before this one may have paused replicas and been replaced before it promoted one;
   * with all of them paused no write is acknowledged. While an agreed order is open they stay
   * paused.
   */
  private void resumeOnce(ServiceImage service) {
    if (!service.promotion().isPresent() && resumed.add(service.name())) {
      service.all().stream()
          .filter(member -> !member.id().equals(service.primary()))
          .forEach(member -> probe.resume(service.name(), member));
    }
  }

  private void releaseFence(ServiceImage service) {
    ReplicaFence fence = fences.remove(service.name());
    if (fence != null) {
      fence.release(service);
    }
  }

  private Optional<MemberId> fencedTarget(ServiceImage service) {
    if (actions.now() < catchUpUntil.getOrDefault(service.name(), 0L)) {
      return Optional.empty();
    }
    ReplicaFence fence =
        fences.computeIfAbsent(
            service.name(), any -> new ReplicaFence(probe, onWorker, logs.newestTerm(service) + 1));
    fence.advance(service, actions.now());
    Optional<MemberId> latest = fence.latest(service, this::isLost);
    if (latest.isPresent() && mayCatchUp(service, latest.get())) {
      releaseFence(service);
      catchUpUntil.put(service.name(), actions.now() + CATCH_UP_MILLIS);
      return Optional.empty();
    }
    boolean deposed = latest.isPresent() && fence.hasDeposed(service, actions.now());
    boolean allHaveTold = actions.now() - leadsSince >= MEMBERS_TELL_MILLIS;
    return deposed && allHaveTold ? latest : Optional.empty();
  }

  /**
   * Whether members that stay can still receive from a primary that leaves what only another
   * leaving member has. Promoting that one would need the next change at once, and each change
   * keeps those that stay from receiving.
   */
  private boolean mayCatchUp(ServiceImage service, MemberId latest) {
    boolean primaryServes =
        service.member(service.primary()).isPresent() && !isUnreachable(service, service.primary());
    boolean latestLeaves = service.member(latest).filter(RegisteredMember::draining).isPresent();
    return primaryServes && latestLeaves && service.all().stream().anyMatch(m -> !m.draining());
  }

  private boolean isLost(MemberId id) {
    return signs.silenceMillis(id, actions.now(), leadsSince) > REPLICA_LOST_MILLIS;
  }

  /** Whether another target may be chosen; the same one is only ordered anew after its time. */
  private boolean mayOrderAgain(ServiceImage service, OpenOrder open) {
    boolean targetGone =
        service.member(open.target).isEmpty() || isUnreachable(service, open.target);
    return targetGone || !isUnderWay(open);
  }

  private boolean isUnderWay(OpenOrder open) {
    return actions.now() < open.nextStepMillis;
  }

  /** Why the service needs another primary; empty when it needs none. */
  private String causeForChange(ServiceImage service) {
    if (service.all().isEmpty()) {
      return "";
    }
    Optional<RegisteredMember> primary = service.member(service.primary());
    if (primary.isEmpty()) {
      boolean claimed =
          service.all().stream()
              .anyMatch(each -> signs.claimsPrimary(each.id(), actions.now(), CLAIM_MILLIS));
      boolean wait =
          !service.departed().contains(service.primary())
              && actions.now() - leadsSince < PRIMARY_UNKNOWN_MILLIS;
      return claimed || wait ? "" : "no primary is known";
    }
    if (primary.get().draining()) {
      return "the primary leaves";
    }
    return isUnreachable(service, service.primary()) ? "the primary is unreachable" : "";
  }

  /**
   * Whether all nodes that lately told of a member call it unreachable, and at least half of the
   * nodes heard that hold connections to it have told so.
   */
  private boolean isUnreachable(ServiceImage service, MemberId id) {
    NodeRegistry.Opinion opinion =
        registry.opinionOf(
            service.name(),
            id.value(),
            actions.now(),
            settings.gatewaySilenceMillis(),
            settings.heartbeatMillis() * 3 / 2,
            observers.of(service, id));
    return opinion.reachable() == 0
        && opinion.unreachable() > 0
        && 2 * opinion.unreachable() >= opinion.heardNodes();
  }

  /**
   * The member whose log ends latest among those that stay and are not known to be unreachable. A
   * former primary that is not known to follow the present one is left out, since it would bring
   * back records that callers could not see meanwhile; it counts again once the present primary has
   * been silent for so long that it is lost for good.
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

  private void give(ServiceImage service) {
    OpenOrder open = orders.computeIfAbsent(service.name(), any -> new OpenOrder());
    open.target = service.promotion();
    open.fence = service.fence();
    open.nextStepMillis = actions.now() + ORDER_ANSWER_MILLIS;
    Order order = new Order(service.name(), open.target, open.fence);
    agent.order(order, outcome -> onWorker.accept(() -> ordered(order, outcome)));
  }

  private void ordered(Order order, Outcome outcome) {
    actions.decided(
        Decision.Kind.PROMOTION,
        order.service(),
        "answer of the outside agent",
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
