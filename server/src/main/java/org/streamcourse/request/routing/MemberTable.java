package org.streamcourse.request.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.streamcourse.connection.member.MemberDialer;
import org.streamcourse.connection.member.MemberLinks;
import org.streamcourse.connection.member.MemberObservation;
import org.streamcourse.connection.member.MemberRelay;
import org.streamcourse.process.Worker;
import org.streamcourse.version.image.ClusterImage;
import org.streamcourse.version.image.LinkShares;
import org.streamcourse.version.image.MemberId;
import org.streamcourse.version.image.NodeImage;
import org.streamcourse.version.image.RegisteredMember;
import org.streamcourse.version.image.ServiceImage;
import org.streamcourse.version.image.TermPosition;

/**
 * The services named by routes, with the members of each, as of the newest cluster image.
 *
 * <p>All methods run on the proxy's worker.
 */
public final class MemberTable {
  private final Worker worker;
  private final MemberDialer dialer;
  private final MemberRelay relay;
  private final NodeImage self;
  private final Map<String, ServiceMembers> services = new TreeMap<>();
  private final Set<Runnable> changeTasks = new LinkedHashSet<>();
  private Runnable healthListener = () -> {};
  private MemberRelay.ObservationListener observationListener =
      (service, member, observation) -> {};

  /**
   * Creates an empty table.
   *
   * @param worker the proxy's worker
   * @param dialer opens connections to members
   * @param relay relays statements to members to which this node may open no connections
   * @param self this node
   */
  public MemberTable(Worker worker, MemberDialer dialer, MemberRelay relay, NodeImage self) {
    this.worker = worker;
    this.dialer = dialer;
    this.relay = relay;
    this.self = self;
    relay.setObservationListener(this::onObservation);
  }

  private void onObservation(String service, MemberId member, MemberObservation observation) {
    ServiceMembers members = services.get(service);
    MemberLinks links = members == null ? null : members.links(member);
    if (links != null) {
      links.state().onObservation(observation);
    }
  }

  /**
   * Sets the listener that is called as soon as a member becomes unreachable or reachable.
   *
   * @param listener runs on the proxy's worker
   */
  public void onHealthChange(Runnable listener) {
    healthListener = listener;
  }

  /**
   * Sets the listener that sends observations of members to other nodes.
   *
   * @param listener runs on the proxy's worker
   */
  public void setObservationListener(MemberRelay.ObservationListener listener) {
    observationListener = listener;
  }

  /**
   * Applies a new image.
   *
   * @param image the image
   */
  public void update(ClusterImage image) {
    Set<String> used = new TreeSet<>();
    image.document().routes().forEach(route -> used.add(route.service()));
    for (String gone : List.copyOf(services.keySet())) {
      if (!used.contains(gone)) {
        services.remove(gone).retireAll();
      }
    }
    LinkShares shares = new LinkShares(image);
    for (String name : used) {
      ServiceMembers members =
          services.computeIfAbsent(
              name, any -> new ServiceMembers(worker, self.placement().zone()));
      boolean synchronous =
          image.document().service(name).stream()
              .anyMatch(rules -> rules.synchronousReplicas() > 0);
      updateService(members, image.service(name), shares, synchronous);
    }
    List<Runnable> tasks = new ArrayList<>(changeTasks);
    changeTasks.clear();
    tasks.forEach(Runnable::run);
  }

  private void updateService(
      ServiceMembers members, ServiceImage image, LinkShares shares, boolean synchronous) {
    Map<MemberId, MemberLinks> next = new HashMap<>();
    for (RegisteredMember member : image.all()) {
      MemberLinks links = members.links(member.id());
      if (links == null) {
        links = new MemberLinks(worker, dialer, relay, image.name(), member, healthListener);
      }
      next.put(member.id(), links);
      links.update(member, shares.of(image.name(), member, self.name()));
    }
    members.replace(next, image.primary(), image.promotion(), synchronous);
  }

  /**
   * Finds the members of a service.
   *
   * @param service service's name
   * @return members of the service, or null when no route names it
   */
  public ServiceMembers service(String service) {
    return services.get(service);
  }

  /**
   * Finds this node's own link pool of a member.
   *
   * @param service service's name
   * @param member the member
   * @param standIn whether this node becomes a fallback holder of the member, if it may
   * @return the pool, or null when this node may open no links
   */
  public MemberLinks held(String service, MemberId member, boolean standIn) {
    ServiceMembers members = services.get(service);
    MemberLinks links = members == null ? null : members.links(member);
    if (links != null && standIn) {
      links.startFallback();
    }
    return links == null || !links.holdsLinks() ? null : links;
  }

  /**
   * Records the log position of a primary at which it committed a transaction.
   *
   * @param context the commit
   * @param member member that committed
   * @param sentMillis time at which the commit was sent
   * @param position log position in the answer
   * @param log request log
   */
  public void recordCommit(
      StatementContext context,
      MemberId member,
      long sentMillis,
      TermPosition position,
      RequestLog log) {
    ServiceMembers members = services.get(context.route().service());
    if (members != null) {
      members.recordPrimaryPosition(context, member, sentMillis, position, log);
    }
  }

  /**
   * Returns all services in use.
   *
   * @return services by name
   */
  public Map<String, ServiceMembers> services() {
    return services;
  }

  /**
   * Adds a task that runs once, at the next change of the image.
   *
   * @param task the task
   */
  public void onChange(Runnable task) {
    changeTasks.add(task);
  }

  /**
   * Removes a task added by {@link #onChange}.
   *
   * @param task the task
   */
  public void removeOnChange(Runnable task) {
    changeTasks.remove(task);
  }

  /** Checks the health of all members and sends observations of them to other nodes. */
  public void checkHealth() {
    for (ServiceMembers members : services.values()) {
      members.all().forEach(MemberLinks::check);
    }
    services.forEach((name, members) -> members.watch(name, observationListener));
  }
}
