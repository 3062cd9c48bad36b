package org.streamcourse.version.image;

import java.util.List;

/**
 * Operators' rules for a tenant.
 *
 * @param id tenant's name
 * @param keys digests of the tenant's access keys
 * @param priority 0 is served first, then 1 and so on
 * @param ratePerSecond operations per second on all nodes together, or {@link #UNLIMITED}
 * @param burst number of operations allowed at once beyond the rate
 */
public record TenantRule(
    TenantId id, List<KeyDigest> keys, int priority, double ratePerSecond, double burst) {
  /** Rate of a tenant without a limit. */
  public static final double UNLIMITED = -1;

  /** Makes the list unmodifiable. */
  public TenantRule {
    keys = List.copyOf(keys);
  }

  /**
   * Returns whether the tenant's operations are limited.
   *
   * @return false for {@link #UNLIMITED}
   */
  public boolean isLimited() {
    return ratePerSecond != UNLIMITED;
  }

  /** Compares all keys, so that the time taken does not reveal which one matches. */
  boolean hasKey(KeyDigest key) {
    boolean found = false;
    for (KeyDigest each : keys) {
      found |= each.matches(key);
    }
    return found;
  }
}
