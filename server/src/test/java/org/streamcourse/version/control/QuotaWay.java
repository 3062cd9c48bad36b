package org.streamcourse.version.control;

import org.streamcourse.request.quota.HomeOrder;
import org.streamcourse.request.quota.QuotaPace;

/** How a node of a {@link QuotaWorld} decides. */
enum QuotaWay {
  /** The same part of the limit for each node, for ever. */
  EQUAL_PARTS(null, false),
  /** Shares by demand for each node, agreed among the controllers. */
  SHARES(null, false),
  /** The same, used at a pace. */
  PACED_SHARES(null, true),
  /** Shares for one home in each region, used at once. */
  REGION_HOMES(HomeOrder.Scope.REGION, false),
  /** Shares for one home in each region, used at a pace. */
  PACED_REGION_HOMES(HomeOrder.Scope.REGION, true),
  /** Shares for one home in each zone, used at a pace. */
  PACED_ZONE_HOMES(HomeOrder.Scope.ZONE, true),
  /** Shares for one home, used at a pace. */
  PACED_FLEET_HOMES(HomeOrder.Scope.FLEET, true);

  final HomeOrder.Scope scope;
  final QuotaPace pace;

  QuotaWay(HomeOrder.Scope scope, boolean paced) {
    this.scope = scope;
    this.pace =
        paced
            ? QuotaPace.of(QuotaWorld.SETTINGS.windowMillis())
            : QuotaPace.none(QuotaWorld.SETTINGS.windowMillis());
  }
}
