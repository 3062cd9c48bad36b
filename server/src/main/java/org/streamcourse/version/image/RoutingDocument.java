package org.streamcourse.version.image;

import java.util.List;
import java.util.Optional;

/**
 * The operators' routing configuration as one document. Operators assign its version; the document
 * with the highest version applies.
 *
 * @param version version that operators assigned; increases, possibly by more than 1
 * @param routes routes, one for each database name
 * @param services services to which routes may refer
 * @param limits session limits
 * @param tenants tenants whose keys callers may present
 * @param source the document as it was received, for reading it back; contains the keys themselves
 */
public record RoutingDocument(
    long version,
    List<RouteRule> routes,
    List<ServiceRules> services,
    SessionLimits limits,
    List<TenantRule> tenants,
    String source) {
  /** Placeholder for the document until operators have sent one. */
  public static final RoutingDocument NONE =
      new RoutingDocument(-1, List.of(), List.of(), SessionLimits.DEFAULT, List.of(), "");

  /** Makes the lists unmodifiable. */
  public RoutingDocument {
    routes = List.copyOf(routes);
    services = List.copyOf(services);
    tenants = List.copyOf(tenants);
  }

  /**
   * Removes the source, which only controllers need, for reading the document back.
   *
   * @return the same document with an empty source
   */
  public RoutingDocument withoutSource() {
    return new RoutingDocument(version, routes, services, limits, tenants, "");
  }

  /**
   * Returns whether operators have sent a document.
   *
   * @return false for {@link #NONE}
   */
  public boolean isPresent() {
    return version >= 0;
  }

  /**
   * Finds the route of a database name.
   *
   * @param database name
   * @return route, if the document has one
   */
  public Optional<RouteRule> route(String database) {
    return routes.stream().filter(route -> route.database().equals(database)).findFirst();
  }

  /**
   * Finds the rules of a service.
   *
   * @param name service's name
   * @return rules, if the document has them
   */
  public Optional<ServiceRules> service(String name) {
    return services.stream().filter(service -> service.name().equals(name)).findFirst();
  }

  /**
   * Finds the tenant that a key belongs to. Takes the same time for each key, so that the time does
   * not reveal which key matched.
   *
   * @param key digest of the key that a caller presented
   * @return the key's tenant, if the document has the key
   */
  public Optional<TenantRule> tenantOf(KeyDigest key) {
    TenantRule match = null;
    for (TenantRule tenant : tenants) {
      match = tenant.hasKey(key) ? tenant : match;
    }
    return Optional.ofNullable(match);
  }

  /**
   * Determines the tenant to which a caller's statements are attributed.
   *
   * @param route route of the caller's database
   * @param key digest of the key that the caller presented
   * @return the tenant, {@link TenantId#NONE} on a route without keys, or empty when no tenant has
   *     the key
   */
  public Optional<TenantId> callerOf(RouteRule route, KeyDigest key) {
    return route.needsKey() ? tenantOf(key).map(TenantRule::id) : Optional.of(TenantId.NONE);
  }

  /**
   * Finds the rules of a tenant.
   *
   * @param id tenant's name
   * @return rules, if the document has them
   */
  public Optional<TenantRule> tenant(TenantId id) {
    return tenants.stream().filter(tenant -> tenant.id().equals(id)).findFirst();
  }

  /**
   * Validates the document, without comparing it to an image.
   *
   * @return description of the first problem, beginning with the field; empty for a valid document
   */
  public Optional<String> problem() {
    if (version < 0) {
      return Optional.of("version: must not be negative");
    }
    for (int i = 0; i < routes.size(); i++) {
      RouteRule route = routes.get(i);
      String field = "routes[" + i + "].";
      if (route.timeoutMillis() < 1) {
        return Optional.of(field + "timeout: must be at least 1 ms");
      }
      if (service(route.service()).isEmpty()) {
        return Optional.of(field + "service: '" + route.service() + "' is not among the services");
      }
    }
    return TenantCheck.problem(tenants);
  }

  /** Omits the source: it contains keys, and this text may be logged. */
  @Override
  public String toString() {
    return "document "
        + version
        + " of "
        + routes.size()
        + " routes, "
        + services.size()
        + " services and "
        + tenants.size()
        + " tenants";
  }
}
