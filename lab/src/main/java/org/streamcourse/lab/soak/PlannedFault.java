package org.streamcourse.lab.soak;

/**
 * A fault and its time.
 *
 * @param atMillis begin, from the begin of the run
 * @param lastsMillis time until it is undone
 * @param fault what is done
 */
record PlannedFault(long atMillis, long lastsMillis, Fault fault) {
  long endMillis() {
    return atMillis + lastsMillis;
  }
}
