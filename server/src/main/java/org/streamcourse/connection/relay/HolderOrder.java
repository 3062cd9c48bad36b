package org.streamcourse.connection.relay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import net.openhft.hashing.LongHashFunction;
import org.streamcourse.version.image.MemberId;
import org.streamcourse.version.image.TenantId;

/**
 * Order of preference among the holders of a member's connections. All nodes prefer the same holder
 * for a tenant, by rendezvous hashing: each connection serves one tenant, so a tenant whose
 * statements went to all four holders would need a connection at each of them.
 */
public final class HolderOrder {
  private static final LongHashFunction HASH = LongHashFunction.xx();

  private HolderOrder() {}

  /**
   * Sorts holders by preference.
   *
   * @param holders names of the holders, in this node's own order
   * @param member the member
   * @param tenant tenant of the statement; without a tenant the given order is kept
   * @return the same names in order of preference
   */
  public static List<String> of(List<String> holders, MemberId member, TenantId tenant) {
    if (!tenant.isPresent()) {
      return holders;
    }
    String key = tenant.value() + '/' + member.value() + '/';
    List<String> sorted = new ArrayList<>(holders);
    sorted.sort(Comparator.comparingLong(holder -> HASH.hashChars(key + holder)));
    return sorted;
  }
}
