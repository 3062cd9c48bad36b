package org.streamcourse.version.control;

/** Role that a database member reports. */
public enum MemberRole {
  /** Accepts writes in its term. */
  PRIMARY,
  /** Receives the log of a primary. */
  REPLICA,
  /** Neither accepts writes nor receives a log, since a newer term was opened. */
  FENCED
}
