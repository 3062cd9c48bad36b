package org.streamcourse.request.routing;

import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamcourse.connection.member.MemberLinks;
import org.streamcourse.connection.member.MemberObservation;
import org.streamcourse.connection.member.MemberRelay;
import org.streamcourse.connection.member.MemberState;
import org.streamcourse.connection.member.ReplicaProbe;
import org.streamcourse.process.Worker;
import org.streamcourse.version.image.MemberId;
import org.streamcourse.version.image.TenantId;

/**
 * Watches the members to which this node has links. When a member lags or leaves all requests
 * unanswered, notifies the nodes that have sent statements for it. Because reads avoid a lagging
 * member, no answers would show that it has caught up; therefore the log positions of the member
 * and of the primary are probed.
 *
 * <p>All methods run on the proxy's worker.
 */
final class MemberWatch {
  private static final Logger LOG = LoggerFactory.getLogger(MemberWatch.class);

  /**
   * Lag from which a member is watched. With a smaller lag, a read that needs the newest position
   * waits about as long as a round trip to another region, so that it is best sent to the member.
   */
  private static final long MIN_WATCHED_LAG_MILLIS = 100;

  /** A lag is published again when it has changed by this factor. */
  private static final long PUBLISHED_CHANGE_FACTOR = 4;

  /** Longest time between publications of a lag: half of the time for which other nodes use it. */
  private static final long LAG_PUBLICATION_MILLIS = 1_000;

  /** Longest time between publications that a member is unresponsive. */
  private static final long HUNG_PUBLICATION_MILLIS = 250;

  /** Time between probes of the primary. With many writes, commits show its position more often. */
  private static final long PRIMARY_PROBE_MILLIS = 300;

  private record Publication(long lagMillis, boolean hung, long atMillis) {}

  private final Worker worker;
  private final ServiceMembers members;
  private final Map<MemberId, Publication> published = new HashMap<>();
  private long primaryProbedMillis = Long.MIN_VALUE / 2;

  MemberWatch(Worker worker, ServiceMembers members) {
    this.worker = worker;
    this.members = members;
  }

  /**
   * Checks all members; must be called several times a second.
   *
   * @param service name of the service
   * @param reader tenant of the most recent read, whose connections the probes may use
   * @param listener sends observations to other nodes
   */
  void check(String service, TenantId reader, MemberRelay.ObservationListener listener) {
    published.keySet().removeIf(member -> members.links(member) == null);
    for (MemberLinks links : members.all()) {
      if (!links.holdsLinks()) {
        published.remove(links.member().id());
        continue;
      }
      boolean behind = isBehind(links);
      if (behind) {
        probe(links, reader);
      }
      publish(service, links, behind, listener);
    }
  }

  private boolean isBehind(MemberLinks links) {
    return links.isUsable()
        && !members.isOfPrimary(links)
        && links.state().lagMillis() >= MIN_WATCHED_LAG_MILLIS;
  }

  private void probe(MemberLinks links, TenantId reader) {
    ReplicaProbe.probe(links, reader);
    if (worker.now() - primaryProbedMillis >= PRIMARY_PROBE_MILLIS) {
      primaryProbedMillis = worker.now();
      members.probePrimaryPosition(reader, () -> {});
    }
  }

  private void publish(
      String service, MemberLinks links, boolean behind, MemberRelay.ObservationListener listener) {
    MemberId member = links.member().id();
    MemberObservation observation = links.state().observation();
    boolean hung = observation.silentMillis() > MemberState.HUNG_MILLIS;
    Publication last = published.get(member);
    if (!behind && !hung && last == null) {
      return;
    }
    if (!behind && !hung) {
      published.remove(member);
      LOG.info("member {}/{} has caught up and responds; reads may use it again", service, member);
    } else if (last == null || isPublicationDue(last, observation.lagMillis(), hung)) {
      published.put(member, new Publication(observation.lagMillis(), hung, worker.now()));
    } else {
      return;
    }
    if (last == null) {
      LOG.info(
          "member {}/{} lags by {} ms, no reply for {} ms; other nodes are notified",
          service,
          member,
          observation.lagMillis(),
          observation.silentMillis());
    }
    listener.onObservation(service, member, observation);
  }

  private boolean isPublicationDue(Publication last, long lagMillis, boolean hung) {
    boolean changed =
        lagMillis > last.lagMillis() * PUBLISHED_CHANGE_FACTOR
            || lagMillis * PUBLISHED_CHANGE_FACTOR < last.lagMillis()
            || hung != last.hung();
    long interval = hung ? HUNG_PUBLICATION_MILLIS : LAG_PUBLICATION_MILLIS;
    return changed || worker.now() - last.atMillis() >= interval;
  }
}
