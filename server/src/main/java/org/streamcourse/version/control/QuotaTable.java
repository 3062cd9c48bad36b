package org.streamcourse.version.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.streamcourse.version.image.ClusterChange;
import org.streamcourse.version.image.QuotaGrant;
import org.streamcourse.version.image.QuotaHolder;
import org.streamcourse.version.image.TenantId;

/**
 * The agreed shares of tenants' limits. The table is not part of the image: a node receives only
 * its own shares.
 */
final class QuotaTable {
  /** Numbers that describe one change: indexes of the tenant and the holder, and operations. */
  private static final int FIELDS = 3;

  /** Tenants or holders in the order in which they were added, with the index of each. */
  private static final class Names<T> {
    private final List<T> all = new ArrayList<>();
    private final Map<T, Integer> indexes = new HashMap<>();

    private void add(T name) {
      indexes.put(name, all.size());
      all.add(name);
    }

    /** Returns the index of a name that is known or among the added ones; adds it if it is not. */
    private int indexOf(T name, List<T> added) {
      Integer known = indexes.get(name);
      if (known != null) {
        return known;
      }
      int index = added.indexOf(name);
      if (index < 0) {
        index = added.size();
        added.add(name);
      }
      return all.size() + index;
    }

    private void restore(List<T> stored) {
      all.clear();
      indexes.clear();
      stored.forEach(this::add);
    }
  }

  /**
   * Snapshot form.
   *
   * @param number number of the newest change
   * @param tenants tenants in the order in which they were added
   * @param holders holders in the order in which they were added
   * @param grants all shares
   */
  record Stored(
      long number, List<TenantId> tenants, List<QuotaHolder> holders, List<QuotaGrant> grants) {
    /** The table before the first share. */
    static final Stored EMPTY = new Stored(0, List.of(), List.of(), List.of());
  }

  private final Map<TenantId, Map<QuotaHolder, QuotaGrant>> grants = new TreeMap<>();
  private final Names<TenantId> tenants = new Names<>();
  private final Names<QuotaHolder> holders = new Names<>();
  private long number;

  /** Returns the number of the newest change. */
  long number() {
    return number;
  }

  Set<TenantId> tenants() {
    return grants.keySet();
  }

  /** Returns the shares of a tenant by holder. */
  Map<QuotaHolder, QuotaGrant> of(TenantId tenant) {
    return grants.getOrDefault(tenant, Map.of());
  }

  /** Returns changes in the form that goes to the replicated log. */
  ClusterChange.QuotaGranted describe(List<QuotaGrant> changes) {
    List<TenantId> newTenants = new ArrayList<>();
    List<QuotaHolder> newHolders = new ArrayList<>();
    int[] numbers = new int[FIELDS * changes.size()];
    int at = 0;
    for (QuotaGrant change : changes) {
      numbers[at++] = tenants.indexOf(change.tenant(), newTenants);
      numbers[at++] = holders.indexOf(change.holder(), newHolders);
      numbers[at++] = change.operations();
    }
    return new ClusterChange.QuotaGranted(number, newTenants, newHolders, numbers);
  }

  /**
   * Applies agreed changes; returns those that took effect, which are none if they are based on an
   * older table.
   */
  List<QuotaGrant> apply(ClusterChange.QuotaGranted change) {
    List<QuotaGrant> applied = new ArrayList<>();
    if (change.basedOn() != number) {
      return applied;
    }
    change.tenants().forEach(tenants::add);
    change.holders().forEach(holders::add);
    int[] numbers = change.grants();
    for (int at = 0; at < numbers.length; at += FIELDS) {
      number++;
      TenantId tenant = tenants.all.get(numbers[at]);
      QuotaHolder holder = holders.all.get(numbers[at + 1]);
      QuotaGrant grant = new QuotaGrant(tenant, holder, number, numbers[at + 2]);
      put(grant);
      applied.add(grant);
    }
    return applied;
  }

  private void put(QuotaGrant grant) {
    Map<QuotaHolder, QuotaGrant> ofTenant =
        grants.computeIfAbsent(grant.tenant(), any -> new TreeMap<>());
    if (grant.operations() > 0) {
      ofTenant.put(grant.holder(), grant);
    } else {
      ofTenant.remove(grant.holder());
    }
    if (ofTenant.isEmpty()) {
      grants.remove(grant.tenant());
    }
  }

  /** Returns the snapshot of this table. */
  Stored stored() {
    List<QuotaGrant> all = new ArrayList<>();
    grants.values().forEach(ofTenant -> all.addAll(ofTenant.values()));
    return new Stored(number, new ArrayList<>(tenants.all), new ArrayList<>(holders.all), all);
  }

  /** Restores a snapshot. */
  void restore(Stored stored) {
    number = stored.number();
    tenants.restore(stored.tenants());
    holders.restore(stored.holders());
    grants.clear();
    stored.grants().forEach(this::put);
  }
}
