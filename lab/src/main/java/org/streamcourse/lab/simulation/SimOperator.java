package org.streamcourse.lab.simulation;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.streamcourse.version.control.ServiceCall;
import org.streamcourse.version.image.KeyDigest;
import org.streamcourse.version.image.RouteConsistency;
import org.streamcourse.version.image.RouteRule;
import org.streamcourse.version.image.RoutingDocument;
import org.streamcourse.version.image.ServiceRules;
import org.streamcourse.version.image.SessionLimits;
import org.streamcourse.version.image.TenantId;
import org.streamcourse.version.image.TenantRule;

/** A simulated operator that replaces routing documents and reads them back. */
final class SimOperator {
  private static final long RESEND_MILLIS = 1_000;

  /** More tenants than a proxy has member links to a member in a fleet with few connections. */
  private static final int TENANTS = 5;

  /** Time during which both the former and the new key of a tenant are valid. */
  private static final long KEY_OVERLAP_MILLIS = 2_000;

  private final ServiceWorld world;
  private final Map<TenantId, List<String>> keys = new TreeMap<>();
  private final Map<TenantId, Double> rates = new TreeMap<>();
  private long documentVersion;
  private long keyNumbers;

  SimOperator(ServiceWorld world) {
    this.world = world;
    for (int i = 0; i < TENANTS; i++) {
      keys.put(new TenantId("t" + i), List.of(newKey()));
    }
  }

  private String newKey() {
    keyNumbers++;
    return "key-" + keyNumbers;
  }

  /** Returns the tenants ordered by name. */
  List<TenantId> tenants() {
    return List.copyOf(keys.keySet());
  }

  /** Returns the key with which a tenant's callers connect now. */
  String keyOf(TenantId tenant) {
    List<String> all = keys.get(tenant);
    return all.get(all.size() - 1);
  }

  /** Adds a new key for a tenant, then revokes the former key with a later document. */
  void changeKey(TenantId tenant) {
    String former = keyOf(tenant);
    keys.put(tenant, List.of(former, newKey()));
    replaceDocument();
    world.after(
        KEY_OVERLAP_MILLIS,
        () -> {
          keys.put(tenant, List.of(keyOf(tenant)));
          replaceDocument(() -> world.checks().keyRevoked(former));
        });
  }

  static String databaseOf(RouteConsistency consistency) {
    return "db-" + consistency.name().toLowerCase(java.util.Locale.ROOT);
  }

  /** Sends the next version of the document repeatedly until it is acknowledged. */
  void replaceDocument() {
    replaceDocument(() -> {});
  }

  private void replaceDocument(Runnable acknowledged) {
    long version = nextVersion();
    send(document(version, List.of(), "source of " + version), acknowledged);
  }

  /** Sends a document to one controller after the other until it is acknowledged. */
  void send(RoutingDocument document, Runnable acknowledged) {
    world.checks().documents().sent(document);
    boolean[] done = new boolean[1];
    int turn = world.random().nextInt(World.CONTROLLERS.size());
    sendDocument(document, acknowledged, done, turn);
  }

  /** Returns a version above those of all documents so far. */
  long nextVersion() {
    documentVersion += 1 + world.random().nextInt(3);
    return documentVersion;
  }

  /** Returns a document with further databases that any caller may use. */
  RoutingDocument document(long version, List<String> databases, String source) {
    List<RouteRule> routes = new ArrayList<>();
    for (RouteConsistency consistency : RouteConsistency.values()) {
      long staleness = consistency == RouteConsistency.PRIMARY ? 0 : ServiceWorld.STALENESS_MILLIS;
      routes.add(
          new RouteRule(
              databaseOf(consistency),
              ServiceWorld.SERVICE,
              consistency,
              800,
              600,
              1,
              2,
              staleness,
              true));
    }
    for (String database : databases) {
      routes.add(
          new RouteRule(
              database, ServiceWorld.SERVICE, RouteConsistency.PRIMARY, 800, 600, 1, 2, 0, false));
    }
    return new RoutingDocument(
        version,
        routes,
        List.of(
            new ServiceRules(
                ServiceWorld.SERVICE,
                world.size().maxConnections(),
                world.size().synchronousReplicas())),
        new SessionLimits(3_000),
        tenantRules(),
        source);
  }

  private List<TenantRule> tenantRules() {
    List<TenantRule> rules = new ArrayList<>();
    keys.forEach(
        (tenant, tenantKeys) ->
            rules.add(
                new TenantRule(
                    tenant,
                    tenantKeys.stream().map(SimOperator::digest).toList(),
                    1,
                    rates.getOrDefault(tenant, TenantRule.UNLIMITED),
                    rates.getOrDefault(tenant, 0.0))));
    return rules;
  }

  /** Lowers a tenant's limit with the next document. */
  void lowerLimit(TenantId tenant, double rate) {
    rates.put(tenant, rate);
    replaceDocument(() -> world.checks().limitLowered(tenant, rate));
  }

  static KeyDigest digest(String key) {
    return KeyDigest.of(key.getBytes(StandardCharsets.UTF_8));
  }

  private void sendDocument(
      RoutingDocument document, Runnable acknowledged, boolean[] done, int turn) {
    if (done[0]) {
      return;
    }
    String controller = World.CONTROLLERS.get(turn % World.CONTROLLERS.size());
    world.call(
        operatorHost(),
        controller,
        new ServiceCall.ReplaceDocument(document),
        result -> {
          world.checks().documents().answered(document, result.status());
          if (!done[0] && result.status() == ServiceCall.Status.DONE) {
            done[0] = true;
            acknowledged.run();
          }
        });
    world.after(RESEND_MILLIS, () -> sendDocument(document, acknowledged, done, turn + 1));
  }

  /** Reads the document at a random controller. */
  void fetchDocument() {
    long sentMillis = world.nowMillis();
    String controller = World.CONTROLLERS.get(world.random().nextInt(World.CONTROLLERS.size()));
    world.call(
        operatorHost(),
        controller,
        new ServiceCall.FetchDocument(),
        result -> {
          if (result.status() == ServiceCall.Status.DONE) {
            world.checks().documents().read(result.text(), sentMillis);
          }
        });
  }

  /**
   * Returns the host from which the operator's calls are sent: the first proxy's, as it may be cut.
   */
  private static String operatorHost() {
    return "p1";
  }
}
