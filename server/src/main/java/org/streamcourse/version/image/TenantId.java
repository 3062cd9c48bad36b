package org.streamcourse.version.image;

/**
 * Name of a tenant, to which statements and member connections are attributed.
 *
 * @param value name that operators assigned
 */
public record TenantId(String value) implements Comparable<TenantId> {
  /** No tenant: for routes that need no key, and for the fleet's own queries. */
  public static final TenantId NONE = new TenantId("");

  /**
   * Returns whether this is a tenant's name.
   *
   * @return false for {@link #NONE}
   */
  public boolean isPresent() {
    return !value.isEmpty();
  }

  @Override
  public int compareTo(TenantId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
