package org.streamcourse.version.image;

/** The commits that reads of a route must observe. */
public enum RouteConsistency {
  /** Every acknowledged commit. */
  PRIMARY,
  /** Every commit that was acknowledged longer ago than the route's staleness limit. */
  BOUNDED_STALENESS,
  /** Those of {@link #BOUNDED_STALENESS}, and every acknowledged commit of the same session. */
  SESSION
}
