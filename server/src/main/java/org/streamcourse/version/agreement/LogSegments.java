package org.streamcourse.version.agreement;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import org.streamcourse.process.Disk;
import org.streamcourse.process.ErrorCode;
import org.streamcourse.process.Frames;
import org.streamcourse.process.StreamcourseException;

/**
 * The files that hold the log entries, each a sequence of frames named by the index of its first
 * entry.
 *
 * <p>Invariants:
 *
 * <ul>
 *   <li>The entries in the files are contiguous after each single write: a truncation deletes the
 *       last segment first.
 *   <li>Nothing is appended before a truncation that failed is completed.
 * </ul>
 */
final class LogSegments {
  private static final String PREFIX = "segment-";
  private static final int ENTRIES_PER_SEGMENT = 512;
  private static final long NONE = Long.MAX_VALUE;

  private final Disk disk;
  private final int segmentBytes;
  private final LongFunction<byte[]> contentFrom;
  private final NavigableMap<Long, String> names = new TreeMap<>();

  /** Length of the segment to which entries are appended. */
  private long lastSegmentBytes;

  /** First entry that a truncation has to remove from the files, or {@link #NONE}. */
  private long truncationFrom = NONE;

  /**
   * Creates the segments of a data folder; {@link #load} reads them.
   *
   * @param disk data folder
   * @param segmentBytes length from which on a segment gets no more frames
   * @param contentFrom returns the content of the last segment by the index of its first entry,
   *     without truncated entries
   */
  LogSegments(Disk disk, int segmentBytes, LongFunction<byte[]> contentFrom) {
    this.disk = disk;
    this.segmentBytes = segmentBytes;
    this.contentFrom = contentFrom;
  }

  /**
   * Reads all segments, cuts off a torn frame at their end, and makes what is left durable.
   *
   * @param payloads receives the payload of each frame, in order
   */
  void load(Consumer<byte[]> payloads) {
    for (String name : disk.list()) {
      if (name.startsWith(PREFIX)) {
        names.put(Long.parseLong(name.substring(PREFIX.length())), name);
      }
    }
    for (String name : names.values()) {
      load(name, payloads);
    }
    if (!names.isEmpty()) {
      disk.sync(names.lastEntry().getValue());
    }
  }

  private void load(String name, Consumer<byte[]> payloads) {
    ByteBuffer buffer = ByteBuffer.wrap(disk.read(name));
    lastSegmentBytes = buffer.remaining();
    while (buffer.hasRemaining()) {
      int start = buffer.position();
      byte[] payload = Frames.read(buffer);
      if (payload == null) {
        truncateTornFrame(name, buffer.array(), start);
        return;
      }
      payloads.accept(payload);
    }
  }

  private void truncateTornFrame(String name, byte[] content, int start) {
    boolean last = name.equals(names.lastEntry().getValue());
    if (!last || frameFollows(content, start)) {
      String what = "damaged frame at byte " + start + " before the tail of the log";
      throw new StreamcourseException(ErrorCode.CORRUPT_LOG, "open-log", name, what);
    }
    disk.replace(name, Arrays.copyOf(content, start));
    lastSegmentBytes = start;
  }

  /** Returns whether an intact frame follows a damaged one, which rules out a torn write. */
  private static boolean frameFollows(byte[] content, int damagedAt) {
    for (int position = damagedAt + 1;
        position + Frames.HEADER_BYTES < content.length;
        position++) {
      if (Frames.read(ByteBuffer.wrap(content).position(position)) != null) {
        return true;
      }
    }
    return false;
  }

  /**
   * Appends a frame durably.
   *
   * @param firstIndex index of the frame's first entry
   * @param frame the frame
   */
  void append(long firstIndex, byte[] frame) {
    completeTruncation();
    disk.appendAndSync(segmentFor(firstIndex), frame);
    lastSegmentBytes += frame.length;
  }

  private String segmentFor(long index) {
    if (names.isEmpty()
        || index - names.lastKey() >= ENTRIES_PER_SEGMENT
        || lastSegmentBytes >= segmentBytes) {
      names.put(index, String.format("%s%016d", PREFIX, index));
      lastSegmentBytes = 0;
    }
    return names.lastEntry().getValue();
  }

  /**
   * Removes all entries from an index on, durably.
   *
   * @param index first entry to remove
   */
  void truncateFrom(long index) {
    truncationFrom = Math.min(truncationFrom, index);
    completeTruncation();
  }

  private void completeTruncation() {
    if (truncationFrom == NONE) {
      return;
    }
    for (long first : List.copyOf(names.tailMap(truncationFrom, true).descendingKeySet())) {
      delete(first);
    }
    lastSegmentBytes = 0;
    if (!names.isEmpty()) {
      byte[] content = contentFrom.apply(names.lastKey());
      disk.replace(names.lastEntry().getValue(), content);
      lastSegmentBytes = content.length;
    }
    truncationFrom = NONE;
  }

  /**
   * Deletes the segments without entries after an index, except the last segment.
   *
   * @param index index of the last entry that is not needed
   */
  void deleteUntil(long index) {
    while (names.size() > 1 && names.higherKey(names.firstKey()) <= index + 1) {
      delete(names.firstKey());
    }
  }

  private void delete(long first) {
    disk.delete(names.get(first));
    names.remove(first);
  }
}
