package org.streamcourse.process;

/**
 * Limits, in bytes, of what a process keeps in memory for the control plane. Each is a fraction of
 * the heap; together they take less than half of it, since each also needs room for copies while it
 * is encoded, sent or stored.
 *
 * @param heapBytes maximum size of the heap
 */
public record MemoryLimits(long heapBytes) {
  /** Limits for a heap of 128 MB, the size in the platform's option file. */
  public static final MemoryLimits DEFAULT = new MemoryLimits(128L * 1024 * 1024);

  private static final int DOCUMENT_PARTS = 64;
  private static final int RECENT_CHANGES_PARTS = 16;
  private static final int LOG_PARTS = 32;
  private static final int APPEND_PARTS = 256;
  private static final int UNACKNOWLEDGED_PARTS = 64;
  private static final int CALLS_PARTS = 16;
  private static final int UNSENT_PARTS = 8;

  /**
   * Returns the limits for the heap of this process.
   *
   * @return limits
   */
  public static MemoryLimits ofThisProcess() {
    return new MemoryLimits(Runtime.getRuntime().maxMemory());
  }

  /**
   * Returns the size of the largest routing document that is accepted.
   *
   * @return bytes
   */
  public int documentBytes() {
    return part(DOCUMENT_PARTS);
  }

  /**
   * Returns the limit of the changes that are kept for nodes with an older image.
   *
   * @return bytes
   */
  public int recentChangesBytes() {
    return part(RECENT_CHANGES_PARTS);
  }

  /**
   * Returns the size of the applied log entries from which on a snapshot replaces them, and the
   * size from which on a new log segment begins.
   *
   * @return bytes
   */
  public int logBytes() {
    return part(LOG_PARTS);
  }

  /**
   * Returns the limit of the entries in one append request; a longer entry is sent alone.
   *
   * @return bytes
   */
  public int appendBytes() {
    return part(APPEND_PARTS);
  }

  /**
   * Returns the limit of the entries that are sent to a follower ahead of its acknowledgments.
   *
   * @return bytes
   */
  public int unacknowledgedBytes() {
    return part(UNACKNOWLEDGED_PARTS);
  }

  /**
   * Returns the limit of the calls that wait for the controller's worker.
   *
   * @return bytes
   */
  public int callsBytes() {
    return part(CALLS_PARTS);
  }

  /**
   * Returns the limit of the messages that wait on all links to other processes.
   *
   * @return bytes
   */
  public int unsentBytes() {
    return part(UNSENT_PARTS);
  }

  private int part(int parts) {
    return (int) Math.min(Integer.MAX_VALUE, heapBytes / parts);
  }
}
