package org.streamcourse.request.routing;

/** How a member runs a statement. */
public enum StatementPlan {
  /** One read at any member whose log has reached the floor. */
  ANY_READ,
  /** One read at the primary, within a transaction of its own. */
  PRIMARY_READ,
  /** One write. */
  WRITE,
  /** A read-only transaction at any member whose log has reached the floor. */
  ANY_TRANSACTION,
  /** A read-write transaction at the primary. */
  PRIMARY_TRANSACTION;

  boolean needsPrimary() {
    return this != ANY_READ && this != ANY_TRANSACTION;
  }
}
