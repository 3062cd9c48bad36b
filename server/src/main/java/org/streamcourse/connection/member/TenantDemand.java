package org.streamcourse.connection.member;

import java.util.HashMap;
import java.util.Map;
import org.streamcourse.version.image.TenantId;

/** How often each tenant has needed a link lately; what lies back counts less and less. */
final class TenantDemand {
  /**
   * Uses after which all that was counted is halved: enough for the rare tenants among some 100 to
   * be told apart, and a few seconds of a busy member.
   */
  private static final int USES_TO_HALVE = 256;

  /** Below this a tenant is forgotten. */
  private static final double LEAST = 0.01;

  private final Map<TenantId, Double> demands = new HashMap<>();
  private int uses;

  void add(TenantId tenant) {
    demands.merge(tenant, 1.0, Double::sum);
    uses++;
    if (uses % USES_TO_HALVE == 0) {
      demands.replaceAll((any, demand) -> demand / 2);
      demands.values().removeIf(demand -> demand < LEAST);
    }
  }

  /** Demand of a tenant, 0 when it had none lately. */
  double of(TenantId tenant) {
    return demands.getOrDefault(tenant, 0.0);
  }
}
