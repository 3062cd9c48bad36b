package org.streamcourse.connection.member;

import java.util.HashMap;
import java.util.Map;
import org.streamcourse.version.image.TenantId;

/** Recent demand of each tenant for links; older uses count exponentially less. */
final class TenantDemand {
  /**
   * Number of uses after which all demands are halved. It is high enough to distinguish the rare
   * tenants among about 100, and spans a few seconds at a busy member.
   */
  private static final int USES_TO_HALVE = 256;

  /** Demand below which a tenant is removed. */
  private static final double MIN_DEMAND = 0.01;

  private final Map<TenantId, Double> demands = new HashMap<>();
  private int uses;

  void add(TenantId tenant) {
    demands.merge(tenant, 1.0, Double::sum);
    uses++;
    if (uses % USES_TO_HALVE == 0) {
      demands.replaceAll((any, demand) -> demand / 2);
      demands.values().removeIf(demand -> demand < MIN_DEMAND);
    }
  }

  /** Returns the demand of a tenant, 0 when it had none recently. */
  double of(TenantId tenant) {
    return demands.getOrDefault(tenant, 0.0);
  }
}
