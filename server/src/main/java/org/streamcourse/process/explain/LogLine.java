package org.streamcourse.process.explain;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Instant;
import java.time.OffsetDateTime;
import java.time.format.DateTimeParseException;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * One line of a process' log.
 *
 * @param node process that wrote it, from the file's name
 * @param at time of the event that it tells
 * @param writtenAt time at which it was written
 * @param message text up to the first structured field
 * @param fields structured fields
 */
record LogLine(
    String node, Instant at, Instant writtenAt, String message, Map<String, String> fields) {
  private static final String TIMESTAMP = "@timestamp";
  private static final String MESSAGE = "message";
  private static final String STARTED_AGO = "startedMillisAgo";

  /** What the encoder adds to each line. */
  private static final Set<String> OF_ENCODER =
      Set.of(
          TIMESTAMP,
          MESSAGE,
          "@version",
          "logger_name",
          "thread_name",
          "level",
          "level_value",
          "stack_trace");

  /** Reads a line; empty when it is none of a log. */
  static Optional<LogLine> of(String node, JsonNode json) {
    String timestamp = json.path(TIMESTAMP).asText();
    try {
      Instant writtenAt = OffsetDateTime.parse(timestamp).toInstant();
      Map<String, String> fields = new TreeMap<>();
      json.fields()
          .forEachRemaining(
              each -> {
                if (!OF_ENCODER.contains(each.getKey())) {
                  fields.put(each.getKey(), each.getValue().asText());
                }
              });
      long ago = json.path(STARTED_AGO).asLong();
      String message = json.path(MESSAGE).asText();
      return Optional.of(new LogLine(node, writtenAt.minusMillis(ago), writtenAt, message, fields));
    } catch (DateTimeParseException e) {
      // Output of a process that is no line of its log, such as a crash report of the runtime.
      return Optional.empty();
    }
  }

  /** Returns a field, or an empty text. */
  String field(String name) {
    return fields.getOrDefault(name, "");
  }

  /** Returns the first of some fields that is there and not empty, or an empty text. */
  String firstOf(String... names) {
    for (String name : names) {
      if (!field(name).isEmpty()) {
        return field(name);
      }
    }
    return "";
  }

  /** Returns the message without the structured fields at its end. */
  String text() {
    int end = message.length();
    for (String name : fields.keySet()) {
      int start = message.indexOf(' ' + name + '=');
      end = start >= 0 ? Math.min(end, start) : end;
    }
    return message.substring(0, end).strip();
  }
}
