package org.streamcourse.connection.member;

import org.streamcourse.process.Worker;
import org.streamcourse.version.image.LinkShare;
import org.streamcourse.version.image.MemberId;

/**
 * Links to one member that lead through other nodes, and for how long these need not be asked.
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
   * Creates the way to a member.
   *
   * @param worker the proxy's worker
   * @param relay way to other nodes
   * @param service service of the member
   * @param member the member
   * @param slots the member's slots, which links through others take none of
   * @param owner hears the ends of links
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

  /** Whether other nodes may be asked now. */
  boolean mayBeAsked() {
    return worker.now() >= notBeforeMillis;
  }

  /** Asks none for a while. */
  void rest(long millis) {
    notBeforeMillis = worker.now() + millis;
  }

  /**
   * Opens a link for one unit of work.
   *
   * @param request hears when no other node serves it
   * @param share names the nodes to ask
   * @return open link, or null when none can be asked
   */
  MemberLink open(LinkRequest request, LinkShare share) {
    MemberLink link = new MemberLink(worker, service, member, request.tenant(), slots, owner);
    MemberRelay.Target target =
        new MemberRelay.Target(
            service, member, share.holders(), share.fallbackHolders(), share.hasOwner());
    MemberChannel channel = relay.open(target, request, link, this::rest);
    if (channel == null) {
      return null;
    }
    link.openThrough(channel);
    return link;
  }
}
