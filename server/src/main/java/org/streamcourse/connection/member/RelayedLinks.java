package org.streamcourse.connection.member;

import org.streamcourse.process.Worker;
import org.streamcourse.version.image.LinkShare;
import org.streamcourse.version.image.MemberId;

/**
 * Links to one member through other nodes. After a failure no links are opened for some time.
 *
 * <p>All methods run on the proxy's worker.
 */
final class RelayedLinks {
  private final Worker worker;
  private final MemberRelay relay;
  private final String service;
  private final MemberId member;
  private final MemberSlots slots;
  private final MemberLink.Owner owner;
  private long notBeforeMillis;

  /**
   * Creates the relayed links of a member; none is opened yet.
   *
   * @param worker the proxy's worker
   * @param relay opens channels through holders
   * @param service service of the member
   * @param member the member
   * @param slots the member's slots; relayed links take none of these, since the holder assigns
   *     them
   * @param owner is notified when a link ends
   */
  RelayedLinks(
      Worker worker,
      MemberRelay relay,
      String service,
      MemberId member,
      MemberSlots slots,
      MemberLink.Owner owner) {
    this.worker = worker;
    this.relay = relay;
    this.service = service;
    this.member = member;
    this.slots = slots;
    this.owner = owner;
  }

  /** Returns whether links through other nodes may be opened now. */
  boolean isAvailable() {
    return worker.now() >= notBeforeMillis;
  }

  /** Opens no links for some time. */
  void backOff(long millis) {
    notBeforeMillis = worker.now() + millis;
  }

  /**
   * Opens a link for one unit of work.
   *
   * @param request is notified when no holder serves it
   * @param share names the holders and fallback holders
   * @return open link, or null when no holder is available
   */
  MemberLink open(LinkRequest request, LinkShare share) {
    MemberLink link = new MemberLink(worker, service, member, request.tenant(), slots, owner);
    MemberRelay.Target target =
        new MemberRelay.Target(
            service, member, share.holders(), share.fallbackHolders(), share.hasOwner());
    MemberChannel channel = relay.open(target, request, link, this::backOff);
    if (channel == null) {
      return null;
    }
    link.openRelayed(channel);
    return link;
  }
}
