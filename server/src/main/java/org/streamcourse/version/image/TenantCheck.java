package org.streamcourse.version.image;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Validates the tenants of a document. Problems are described by field, never by a key's text. */
final class TenantCheck {
  private final Set<TenantId> names = new HashSet<>();
  private final Map<KeyDigest, Integer> tenantIndexByKey = new HashMap<>();

  private TenantCheck() {}

  /** Returns the problem of the first invalid tenant, if any. */
  static Optional<String> problem(List<TenantRule> tenants) {
    TenantCheck check = new TenantCheck();
    for (int i = 0; i < tenants.size(); i++) {
      Optional<String> problem = check.problem(i, tenants.get(i));
      if (problem.isPresent()) {
        return problem;
      }
    }
    return Optional.empty();
  }

  private Optional<String> problem(int index, TenantRule tenant) {
    String field = "tenants[" + index + "].";
    if (!tenant.id().isPresent()) {
      return Optional.of(field + "name: must not be empty");
    }
    if (!names.add(tenant.id())) {
      return Optional.of(field + "name: another tenant is called '" + tenant.id() + "'");
    }
    if (tenant.isLimited() && !(tenant.ratePerSecond() >= 0)) {
      return Optional.of(field + "rate: must not be negative");
    }
    if (!(tenant.burst() >= 0)) {
      return Optional.of(field + "burst: must not be negative");
    }
    if (tenant.priority() < 0) {
      return Optional.of(field + "priority: must not be negative");
    }
    return duplicateKey(index, tenant);
  }

  private Optional<String> duplicateKey(int index, TenantRule tenant) {
    for (int key = 0; key < tenant.keys().size(); key++) {
      Integer other = tenantIndexByKey.putIfAbsent(tenant.keys().get(key), index);
      if (other != null && other != index) {
        return Optional.of(
            "tenants[" + index + "].keys[" + key + "]: tenants[" + other + "] has the same key");
      }
    }
    return Optional.empty();
  }
}
