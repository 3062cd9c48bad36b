package org.streamcourse.version.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.streamcourse.version.control.ControlMessage.MemberOrder;
import org.streamcourse.version.control.ControlMessage.OrderKind;
import org.streamcourse.version.image.Allowance;
import org.streamcourse.version.image.MemberImage;
import org.streamcourse.version.image.TermPosition;

/**
 * The leader's orders to the gateways of one group's members. A step that needs an order requests
 * it at each check; while there is no result, the order is sent again each {@link
 * ControlSettings#orderRetryMillis()}, through another gateway.
 */
final class MemberOrders {
  /** An order without a result so far. */
  record Sent(String gateway, String member, OrderKind kind, long term) {}

  private final String group;
  private final ControlSettings settings;
  private final NodeRegistry registry;
  private final GroupSupervisor.Actions actions;
  private final Map<Long, Sent> unanswered = new HashMap<>();
  private final Map<String, Long> lastSentMillis = new HashMap<>();
  private int count;

  MemberOrders(
      String group,
      ControlSettings settings,
      NodeRegistry registry,
      GroupSupervisor.Actions actions) {
    this.group = group;
    this.settings = settings;
    this.registry = registry;
    this.actions = actions;
  }

  /** Returns whether an order with this number has no result yet. */
  boolean awaits(long orderId) {
    return unanswered.containsKey(orderId);
  }

  /** Removes and returns an order that now has a result. */
  Optional<Sent> removeAnswered(long orderId) {
    return Optional.ofNullable(unanswered.remove(orderId));
  }

  /** Forgets all orders when a new term has begun. */
  void clear() {
    unanswered.clear();
    lastSentMillis.clear();
  }

  void toOneGateway(MemberImage member, OrderKind kind, long term, String primary) {
    toOneGateway(member, kind, term, primary, TermPosition.ZERO);
  }

  void toOneGateway(
      MemberImage member, OrderKind kind, long term, String primary, TermPosition awaited) {
    if (member.allowances().isEmpty() || !isDue(member, kind, term)) {
      return;
    }
    count++;
    List<Allowance> gateways = responsiveGateways(member);
    String gateway = gateways.get(count % gateways.size()).node();
    send(gateway, member, kind, term, primary, awaited);
  }

  void toEachGateway(MemberImage member, OrderKind kind, long term) {
    if (!isDue(member, kind, term)) {
      return;
    }
    for (Allowance gateway : member.allowances()) {
      send(gateway.node(), member, kind, term, "", TermPosition.ZERO);
    }
  }

  private List<Allowance> responsiveGateways(MemberImage member) {
    List<Allowance> responsive = new ArrayList<>();
    for (Allowance allowance : member.allowances()) {
      long lastHeartbeat =
          registry
              .state(allowance.node())
              .map(NodeRegistry.NodeState::lastHeartbeatMillis)
              .orElse(0L);
      if (actions.now() - lastHeartbeat <= settings.gatewaySilenceMillis()) {
        responsive.add(allowance);
      }
    }
    return responsive.isEmpty() ? member.allowances() : responsive;
  }

  private boolean isDue(MemberImage member, OrderKind kind, long term) {
    String key = member.name() + '/' + kind + '/' + term;
    Long last = lastSentMillis.get(key);
    long now = actions.now();
    if (last != null && now - last < settings.orderRetryMillis()) {
      return false;
    }
    lastSentMillis.put(key, now);
    return true;
  }

  private void send(
      String gateway,
      MemberImage member,
      OrderKind kind,
      long term,
      String primary,
      TermPosition awaited) {
    long id = actions.nextOrderId();
    unanswered.put(id, new Sent(gateway, member.name(), kind, term));
    actions.sendOrder(
        gateway, new MemberOrder(id, group, member.name(), kind, term, primary, awaited));
  }
}
