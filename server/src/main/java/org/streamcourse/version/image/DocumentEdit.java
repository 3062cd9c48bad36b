package org.streamcourse.version.image;

/**
 * The difference between two versions of the routing document. Rules that did not change are the
 * same objects in both versions.
 *
 * @param baseVersion version that the edit applies to
 * @param version resulting version
 * @param routes difference between the routes
 * @param services difference between the services
 * @param limits resulting session limits
 * @param tenants difference between the tenants
 * @param source difference between the sources
 */
public record DocumentEdit(
    long baseVersion,
    long version,
    ListEdit<RouteRule> routes,
    ListEdit<ServiceRules> services,
    SessionLimits limits,
    ListEdit<TenantRule> tenants,
    TextEdit source) {

  /**
   * Computes the difference between two versions.
   *
   * @param base first version
   * @param target second version
   * @return edit that makes the second version from the first one
   */
  public static DocumentEdit between(RoutingDocument base, RoutingDocument target) {
    return new DocumentEdit(
        base.version(),
        target.version(),
        ListEdit.between(base.routes(), target.routes()),
        ListEdit.between(base.services(), target.services()),
        target.limits(),
        ListEdit.between(base.tenants(), target.tenants()),
        TextEdit.between(base.source(), target.source()));
  }

  /**
   * Makes the second version.
   *
   * @param base first version
   * @return second version
   */
  public RoutingDocument apply(RoutingDocument base) {
    return new RoutingDocument(
        version,
        routes.apply(base.routes()),
        services.apply(base.services()),
        limits,
        tenants.apply(base.tenants()),
        source.apply(base.source()));
  }

  /**
   * Removes the source, which only controllers need.
   *
   * @return edit for documents without a source
   */
  public DocumentEdit withoutSource() {
    return new DocumentEdit(
        baseVersion, version, routes, services, limits, tenants, TextEdit.EMPTY);
  }

  /**
   * Returns the number of rules that the edit contains.
   *
   * @return routes, services and tenants that the base does not have
   */
  public int size() {
    return routes.added().size() + services.added().size() + tenants.added().size();
  }

  /**
   * Returns whether the edit takes fewer bytes than the document, as an estimate by their sources.
   *
   * @param document second version
   * @return true if storing and sending the edit is cheaper
   */
  public boolean isShorterThan(RoutingDocument document) {
    int steps = routes.steps().length + source.steps().length;
    return source.added().length() + Integer.BYTES * steps < document.source().length();
  }

  /** Omits the content: it contains keys, and this text may be logged. */
  @Override
  public String toString() {
    return "document " + version + " from " + baseVersion + " with " + size() + " new rules";
  }
}
