package org.streamcourse.version.control;

import org.streamcourse.request.quota.QuotaPacing;
import org.streamcourse.request.quota.QuotaServerOrder;

/** How a node of a {@link QuotaWorld} decides. */
enum QuotaWay {
  /** The same part of the limit for each node, for ever. */
  EQUAL_PARTS(null, false),
  /** Shares by demand for each node, agreed among the controllers. */
  SHARES(null, false),
  /** The same, used at a pace. */
  PACED_SHARES(null, true),
  /** Shares for one quota server in each region, used at once. */
  REGION_HOMES(QuotaServerOrder.Scope.REGION, false),
  /** Shares for one quota server in each region, used at a pace. */
  PACED_REGION_HOMES(QuotaServerOrder.Scope.REGION, true),
  /** Shares for one quota server in each zone, used at a pace. */
  PACED_ZONE_HOMES(QuotaServerOrder.Scope.ZONE, true),
  /** Shares for one quota server, used at a pace. */
  PACED_FLEET_HOMES(QuotaServerOrder.Scope.FLEET, true);

  final QuotaServerOrder.Scope scope;
  final QuotaPacing pacing;

  QuotaWay(QuotaServerOrder.Scope scope, boolean paced) {
    this.scope = scope;
    this.pacing =
        paced
            ? QuotaPacing.of(QuotaWorld.SETTINGS.windowMillis())
            : QuotaPacing.none(QuotaWorld.SETTINGS.windowMillis());
  }
}
