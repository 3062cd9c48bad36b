package org.streamcourse.lab.member;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.streamcourse.process.Disk;
import org.streamcourse.process.Frames;
import org.streamcourse.process.MessageCodec;
import org.streamcourse.version.image.TermPosition;

/** A member's copy of the group's log, synced to disk, and the latest term the member knows. */
final class MemberLog {
  private static final String LOG_FILE = "log";
  private static final String TERM_FILE = "term";
  private static final MessageCodec CODEC =
      new MessageCodec(
          List.of(
              LogRecord.class,
              LoggedStatement.class,
              LoggedStatement.GeneratedKey.class,
              java.math.BigDecimal.class,
              java.time.LocalDate.class,
              java.time.LocalTime.class,
              java.time.LocalDateTime.class,
              java.time.OffsetDateTime.class));

  private final Disk disk;
  private final List<LogRecord> records = new ArrayList<>();
  private long term;

  MemberLog(Disk disk) {
    this.disk = disk;
    byte[] storedTerm = disk.read(TERM_FILE);
    term = storedTerm == null ? 0 : ByteBuffer.wrap(storedTerm).getLong();
    load();
  }

  static byte[] encode(LogRecord record) {
    return CODEC.encode(record);
  }

  static LogRecord decode(byte[] bytes) {
    return (LogRecord) CODEC.decode(bytes);
  }

  private void load() {
    byte[] content = disk.read(LOG_FILE);
    if (content == null) {
      return;
    }
    ByteBuffer buffer = ByteBuffer.wrap(content);
    byte[] payload = Frames.read(buffer);
    while (payload != null) {
      records.add(decode(payload));
      payload = buffer.hasRemaining() ? Frames.read(buffer) : null;
    }
    if (encodeAll(records).length < content.length) {
      rewrite();
    }
  }

  private static byte[] encodeAll(List<LogRecord> records) {
    ByteArrayOutputStream frames = new ByteArrayOutputStream();
    records.forEach(record -> frames.writeBytes(Frames.write(encode(record))));
    return frames.toByteArray();
  }

  long term() {
    return term;
  }

  void saveTerm(long next) {
    disk.replace(TERM_FILE, ByteBuffer.allocate(Long.BYTES).putLong(next).array());
    term = next;
  }

  TermPosition end() {
    return records.isEmpty() ? TermPosition.ZERO : records.get(records.size() - 1).termPosition();
  }

  /** Appends records with a single sync. */
  void append(List<LogRecord> added) {
    disk.appendAndSync(LOG_FILE, encodeAll(added));
    records.addAll(added);
  }

  /** Returns the record at an offset, or null. */
  LogRecord at(long position) {
    return position < 1 || position > records.size() ? null : records.get((int) position - 1);
  }

  List<LogRecord> after(long position, int limit) {
    int from = (int) position;
    int to = Math.min(records.size(), from + limit);
    return from >= to ? List.of() : List.copyOf(records.subList(from, to));
  }

  /** Drops all records after an offset. */
  void truncateAfter(long position) {
    records.subList((int) position, records.size()).clear();
    rewrite();
  }

  private void rewrite() {
    disk.replace(LOG_FILE, encodeAll(records));
  }

  /** Returns the last offset of each term in the log. */
  Map<Long, Long> termEnds() {
    Map<Long, Long> ends = new TreeMap<>();
    records.forEach(record -> ends.put(record.term(), record.position()));
    return ends;
  }
}
