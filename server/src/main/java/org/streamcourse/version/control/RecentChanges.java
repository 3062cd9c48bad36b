package org.streamcourse.version.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import org.streamcourse.version.image.ClusterChange;
import org.streamcourse.version.image.ClusterDelta;

/**
 * The newest changes of the image, from which nodes with an older image get what they lack. Limited
 * by the bytes that the changes take in memory; a node whose version is older than the kept changes
 * gets the whole image.
 */
final class RecentChanges {
  /**
   * Memory of a decoded change in relation to its encoding, which has neither headers nor UTF-16.
   */
  private static final int MEMORY_FACTOR = 5;

  /** Memory of a change besides its content. */
  private static final int ENTRY_BYTES = 96;

  private record Kept(ClusterChange change, long bytes) {}

  private final long limitBytes;
  private final Deque<Kept> changes = new ArrayDeque<>();
  private long bytes;

  RecentChanges(long limitBytes) {
    this.limitBytes = limitBytes;
  }

  /**
   * Adds the newest change and drops the oldest ones beyond the limit, possibly all.
   *
   * @param encodedBytes length of the change's encoding
   */
  void add(ClusterChange change, int encodedBytes) {
    Kept added = new Kept(change, ENTRY_BYTES + (long) MEMORY_FACTOR * encodedBytes);
    changes.addLast(added);
    bytes += added.bytes();
    while (bytes > limitBytes) {
      bytes -= changes.removeFirst().bytes();
    }
  }

  void clear() {
    changes.clear();
    bytes = 0;
  }

  /** Returns the memory that the kept changes take, as an upper estimate in bytes. */
  long bytes() {
    return bytes;
  }

  int size() {
    return changes.size();
  }

  /**
   * Returns the changes between two versions.
   *
   * @param version version that the delta starts from
   * @param newest version after the newest change
   * @return delta, or empty when the changes are no longer kept
   */
  Optional<ClusterDelta> since(long version, long newest) {
    long missing = newest - version;
    if (missing < 0 || missing > changes.size()) {
      return Optional.empty();
    }
    List<ClusterChange> found = new ArrayList<>((int) missing);
    Iterator<Kept> newestFirst = changes.descendingIterator();
    for (long i = 0; i < missing; i++) {
      found.add(newestFirst.next().change());
    }
    Collections.reverse(found);
    return Optional.of(new ClusterDelta(version, found));
  }
}
