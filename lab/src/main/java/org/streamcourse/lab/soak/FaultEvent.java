package org.streamcourse.lab.soak;

/**
 * The execution of a planned fault.
 *
 * @param planned the planned fault
 * @param beganMillis time from the start of the run to the start of the fault
 * @param endedMillis time from the start of the run until the fault was undone
 * @param outcome what was done, or why the fault was left out
 */
record FaultEvent(PlannedFault planned, long beganMillis, long endedMillis, String outcome) {}
