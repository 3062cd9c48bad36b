package org.streamcourse.version.agreement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;

/** The log entries in memory, by index, and the length of their payloads. */
final class LogEntries {
  private final NavigableMap<Long, LogEntry> entries = new TreeMap<>();
  private long bytes;

  boolean isEmpty() {
    return entries.isEmpty();
  }

  long lastIndex() {
    return entries.lastKey();
  }

  /** Returns an entry, or null when there is none with this index. */
  LogEntry get(long index) {
    return entries.get(index);
  }

  void put(LogEntry entry) {
    LogEntry replaced = entries.put(entry.index(), entry);
    bytes += entry.payload().length;
    bytes -= replaced == null ? 0 : replaced.payload().length;
  }

  void dropUntil(long lastIndex) {
    drop(entries.headMap(lastIndex, true));
  }

  void dropFrom(long firstIndex) {
    drop(entries.tailMap(firstIndex, true));
  }

  private void drop(NavigableMap<Long, LogEntry> dropped) {
    for (LogEntry entry : dropped.values()) {
      bytes -= entry.payload().length;
    }
    dropped.clear();
  }

  Collection<LogEntry> all() {
    return entries.values();
  }

  Collection<LogEntry> from(long firstIndex) {
    return entries.tailMap(firstIndex, true).values();
  }

  /** Returns the entries up to an index, the newest first. */
  Collection<LogEntry> newestFirst(long lastIndex) {
    return entries.headMap(lastIndex, true).descendingMap().values();
  }

  /**
   * Returns entries from an index on.
   *
   * @param firstIndex first index
   * @param limit maximum number of entries
   * @param limitBytes maximum length of their payloads together; a longer first entry is returned
   *     alone
   */
  List<LogEntry> from(long firstIndex, int limit, int limitBytes) {
    List<LogEntry> found = new ArrayList<>();
    long foundBytes = 0;
    for (LogEntry entry : from(firstIndex)) {
      foundBytes += entry.payload().length;
      if (found.size() == limit || (foundBytes > limitBytes && !found.isEmpty())) {
        break;
      }
      found.add(entry);
    }
    return found;
  }

  /** Adds up the payloads between two indexes, both excluded, until the sum is enough. */
  long bytesBetween(long after, long before, long enough) {
    long sum = 0;
    if (after < before) {
      for (LogEntry entry : entries.subMap(after, false, before, false).values()) {
        sum += entry.payload().length;
        if (sum >= enough) {
          break;
        }
      }
    }
    return sum;
  }

  /** Returns the length of the payloads of all entries. */
  long bytes() {
    return bytes;
  }
}
