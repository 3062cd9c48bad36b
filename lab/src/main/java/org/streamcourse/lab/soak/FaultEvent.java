package org.streamcourse.lab.soak;

/**
 * What became of a planned fault.
 *
 * @param planned the plan
 * @param beganMillis when it began, from the begin of the run
 * @param endedMillis when it was undone
 * @param outcome what was done, or why it was left out
 */
record FaultEvent(PlannedFault planned, long beganMillis, long endedMillis, String outcome) {}
