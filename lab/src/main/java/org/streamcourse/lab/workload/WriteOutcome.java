package org.streamcourse.lab.workload;

/** Outcome of a write as reported to its caller. */
public enum WriteOutcome {
  /** The write is committed. */
  ACKNOWLEDGED,
  /** The write was refused before it ran. */
  NOT_RUN,
  /** The write may or may not have run. */
  UNKNOWN,
  /** The database rejected the write with an error. */
  FAILED
}
