package org.streamcourse.lab.soak;

/**
 * A fault with its start and duration.
 *
 * @param atMillis time from the start of the run to the start of the fault
 * @param lastsMillis time until the fault is undone
 * @param fault the fault
 */
record PlannedFault(long atMillis, long lastsMillis, Fault fault) {
  long endMillis() {
    return atMillis + lastsMillis;
  }
}
