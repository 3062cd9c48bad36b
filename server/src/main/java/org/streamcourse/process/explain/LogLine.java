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
 * One line of a process's log.
 *
 * @param node process that wrote the line, from the file's name
 * @param at time of the logged event
 * @param writtenAt time at which the line was written
 * @param message text up to the first structured field
 * @param fields structured fields
 */
record LogLine(
    String node, Instant at, Instant writtenAt, String message, Map<String, String> fields) {
  private static final String TIMESTAMP = "@timestamp";
  private static final String MESSAGE = "message";
  private static final String STARTED_AGO = "startedMillisAgo";

  /** Fields that the log encoder adds to each line. */
  private static final Set<String> ENCODER_FIELDS =
      Set.of(
          TIMESTAMP,
          MESSAGE,
          "@version",
          "logger_name",
          "thread_name",
          "level",
          "level_value",
          "stack_trace");

  /** Converts a JSON object to a log line; empty if its timestamp is missing or invalid. */
  static Optional<LogLine> of(String node, JsonNode json) {
    String timestamp = json.path(TIMESTAMP).asText();
    try {
      Instant writtenAt = OffsetDateTime.parse(timestamp).toInstant();
      Map<String, String> fields = new TreeMap<>();
      json.fields()
          .forEachRemaining(
              each -> {
                if (!ENCODER_FIELDS.contains(each.getKey())) {
                  fields.put(each.getKey(), each.getValue().asText());
                }
              });
      long ago = json.path(STARTED_AGO).asLong();
      String message = json.path(MESSAGE).asText();
      return Optional.of(new LogLine(node, writtenAt.minusMillis(ago), writtenAt, message, fields));
    } catch (DateTimeParseException e) {
      // Other output of the process, such as a crash report of the runtime.
      return Optional.empty();
    }
  }

  /** Returns the value of a field; empty if the line has no such field. */
  String field(String name) {
    return fields.getOrDefault(name, "");
  }

  /** Returns the first non-empty value among the given fields; empty if there is none. */
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
