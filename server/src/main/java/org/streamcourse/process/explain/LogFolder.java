package org.streamcourse.process.explain;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.MalformedInputException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.streamcourse.process.ErrorCode;
import org.streamcourse.process.StreamcourseException;

/** The logs of a fleet: files of JSON lines, each named after the process that wrote it. */
final class LogFolder {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final Path folder;

  /**
   * Opens a folder.
   *
   * @param folder folder with one or several files for each process
   * @throws StreamcourseException if the path is not a folder
   */
  LogFolder(Path folder) {
    if (!Files.isDirectory(folder)) {
      throw new StreamcourseException(
          ErrorCode.INVALID_SETTINGS, "explain", "", "--logs: not a folder: " + folder);
    }
    this.folder = folder;
  }

  /** Reads all lines that match a condition. */
  List<LogLine> read(Predicate<LogLine> wanted) {
    List<LogLine> found = new ArrayList<>();
    for (Path file : files()) {
      readFile(file, wanted, found);
    }
    return found;
  }

  private List<Path> files() {
    try (Stream<Path> files = Files.list(folder)) {
      return files.filter(Files::isRegularFile).sorted().toList();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static void readFile(Path file, Predicate<LogLine> wanted, List<LogLine> found) {
    String name = file.getFileName().toString();
    int dot = name.indexOf('.');
    String node = dot > 0 ? name.substring(0, dot) : name;
    try (Stream<String> lines = Files.lines(file)) {
      lines
          .filter(line -> line.startsWith("{"))
          .flatMap(line -> parse(node, line).stream())
          .filter(wanted)
          .forEach(found::add);
    } catch (UncheckedIOException e) {
      if (!(e.getCause() instanceof MalformedInputException)) {
        throw e;
      }
      // A file that is not UTF-8 text is not a log and is skipped.
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static Optional<LogLine> parse(String node, String line) {
    try {
      JsonNode json = MAPPER.readTree(line);
      return json.isObject() ? LogLine.of(node, json) : Optional.empty();
    } catch (JsonProcessingException e) {
      // The process was killed while it wrote its last line.
      return Optional.empty();
    }
  }
}
