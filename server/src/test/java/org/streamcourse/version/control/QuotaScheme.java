package org.streamcourse.version.control;

import org.streamcourse.request.quota.QuotaPacing;
import org.streamcourse.request.quota.QuotaServerOrder;

/** Scheme by which the nodes of a {@link QuotaWorld} enforce limits. */
enum QuotaScheme {
  /** A constant equal part of the limit for each node. */
  EQUAL_PARTS(null, false),
  /** Shares for each node by demand, agreed by the controllers. */
  SHARES(null, false),
  /** Shares for each node by demand, spread over the window by pacing. */
  PACED_SHARES(null, true),
  /** Shares for one quota server in each region, without pacing. */
  REGION_HOMES(QuotaServerOrder.Scope.REGION, false),
  /** Shares for one quota server in each region, with pacing. */
  PACED_REGION_HOMES(QuotaServerOrder.Scope.REGION, true),
  /** Shares for one quota server in each zone, with pacing. */
  PACED_ZONE_HOMES(QuotaServerOrder.Scope.ZONE, true),
  /** Shares for one quota server in the fleet, with pacing. */
  PACED_FLEET_HOMES(QuotaServerOrder.Scope.FLEET, true);

  final QuotaServerOrder.Scope scope;
  final QuotaPacing pacing;

  QuotaScheme(QuotaServerOrder.Scope scope, boolean paced) {
    this.scope = scope;
    this.pacing =
        paced
            ? QuotaPacing.of(QuotaWorld.SETTINGS.windowMillis())
            : QuotaPacing.none(QuotaWorld.SETTINGS.windowMillis());
  }
}
