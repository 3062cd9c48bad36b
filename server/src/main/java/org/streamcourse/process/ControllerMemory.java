package org.streamcourse.process;

import org.streamcourse.version.agreement.RecordLog;
import org.streamcourse.version.control.ControllerStateMachine;
import org.streamcourse.version.control.ServiceCallRouter;

/** What a controller keeps in memory, and its limits. Read by metrics, on any thread. */
public final class ControllerMemory {
  private final MemoryLimits limits;
  private final RecordLog log;
  private final ControllerStateMachine machine;
  private final ServiceCallRouter calls;

  ControllerMemory(
      MemoryLimits limits, RecordLog log, ControllerStateMachine machine, ServiceCallRouter calls) {
    this.limits = limits;
    this.log = log;
    this.machine = machine;
    this.calls = calls;
  }

  /**
   * Returns the length of the log entries since the newest snapshot.
   *
   * @return bytes
   */
  public long logBytes() {
    return log.entryBytes();
  }

  /**
   * Returns the length of the newest snapshot.
   *
   * @return bytes
   */
  public long snapshotBytes() {
    return log.snapshotBytes();
  }

  /**
   * Returns the memory of the changes that are kept for nodes with an older image.
   *
   * @return upper estimate in bytes
   */
  public long recentChangesBytes() {
    return machine.recentChangesBytes();
  }

  /**
   * Returns the length of the calls that wait for the controller's worker.
   *
   * @return bytes
   */
  public long waitingCallBytes() {
    return calls.waitingBytes();
  }

  void addTo(MetricsEndpoint metrics) {
    metrics.limitedBytes(
        "streamcourse_log",
        "Log entries since the newest snapshot",
        limits.logBytes(),
        this::logBytes);
    metrics.limitedBytes(
        "streamcourse_snapshot",
        "Newest snapshot of the log",
        2L * limits.documentBytes(),
        this::snapshotBytes);
    metrics.limitedBytes(
        "streamcourse_recent_changes",
        "Changes kept for nodes with an older image",
        limits.recentChangesBytes(),
        this::recentChangesBytes);
    metrics.limitedBytes(
        "streamcourse_waiting_calls",
        "Calls that wait for the controller's worker",
        limits.callsBytes(),
        this::waitingCallBytes);
  }
}
