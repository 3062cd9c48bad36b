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
 * Watches the members to which this node has links, and tells the nodes that had work for one when
 * it is behind or owes answers to all. Reads keep away from a member that is behind, so nothing
 * else would show when it has caught up: the member and the primary are asked where they stand.
 *
 * <p>All methods run on the proxy's worker.
 */
final class MemberWatch {
  private static final Logger LOG = LoggerFactory.getLogger(MemberWatch.class);

  /**
   * Lag from which a member is watched. Below it a read that needs the newest place waits about as
   * long as a way to another region and back, and is best left to the member.
   */
  private static final long WATCHED_MILLIS = 100;

  /** A lag is told again when it has changed by this factor. */
  private static final long TOLD_FACTOR = 4;

  /** Time after which a lag is told in any case: half of that for which others believe it. */
  private static final long LAG_TOLD_MILLIS = 1_000;

  /** The same for a silence. */
  private static final long SILENCE_TOLD_MILLIS = 250;

  /** Time between questions to the primary; its own commits come more often where many write. */
  private static final long PRIMARY_ASKED_MILLIS = 300;

  private record Told(long lagMillis, boolean hung, long atMillis) {}

  private final Worker worker;
  private final ServiceMembers members;
  private final Map<MemberId, Told> told = new HashMap<>();
  private long primaryAskedMillis = Long.MIN_VALUE / 2;

  MemberWatch(Worker worker, ServiceMembers members) {
    this.worker = worker;
    this.members = members;
  }

  /**
   * Looks at all members; to be called a few times a second.
   *
   * @param service name of the service
   * @param reader tenant that read last, over whose connections members may be asked
   * @param listener tells other nodes
   */
  void check(String service, TenantId reader, MemberRelay.ObservationListener listener) {
    told.keySet().removeIf(member -> members.links(member) == null);
    for (MemberLinks links : members.all()) {
      if (!links.holdsLinks()) {
        told.remove(links.member().id());
        continue;
      }
      boolean behind = isBehind(links);
      if (behind) {
        ask(links, reader);
      }
      tell(service, links, behind, listener);
    }
  }

  private boolean isBehind(MemberLinks links) {
    return links.isUsable()
        && !members.leadsToPrimary(links)
        && links.state().lagMillis() >= WATCHED_MILLIS;
  }

  private void ask(MemberLinks links, TenantId reader) {
    ReplicaProbe.probe(links, reader);
    if (worker.now() - primaryAskedMillis >= PRIMARY_ASKED_MILLIS) {
      primaryAskedMillis = worker.now();
      members.askPosition(reader, () -> {});
    }
  }

  private void tell(
      String service, MemberLinks links, boolean behind, MemberRelay.ObservationListener listener) {
    MemberId member = links.member().id();
    MemberObservation observation = links.state().observation();
    boolean hung = observation.silentMillis() > MemberState.HUNG_MILLIS;
    Told last = told.get(member);
    if (!behind && !hung && last == null) {
      return;
    }
    if (!behind && !hung) {
      told.remove(member);
      LOG.info("member {}/{} has caught up and answers", service, member);
    } else if (last == null || isWorthTelling(last, observation.lagMillis(), hung)) {
      told.put(member, new Told(observation.lagMillis(), hung, worker.now()));
    } else {
      return;
    }
    if (last == null) {
      LOG.info(
          "member {}/{} is {} ms behind, silent for {} ms",
          service,
          member,
          observation.lagMillis(),
          observation.silentMillis());
    }
    listener.onObservation(service, member, observation);
  }

  private boolean isWorthTelling(Told last, long lagMillis, boolean hung) {
    boolean changed =
        lagMillis > last.lagMillis() * TOLD_FACTOR
            || lagMillis * TOLD_FACTOR < last.lagMillis()
            || hung != last.hung();
    long rest = hung ? SILENCE_TOLD_MILLIS : LAG_TOLD_MILLIS;
    return changed || worker.now() - last.atMillis() >= rest;
  }
}
