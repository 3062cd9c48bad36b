package org.streamcourse.process.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.streamcourse.process.ErrorCode;
import org.streamcourse.process.StreamcourseException;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.composer.Composer;
import org.yaml.snakeyaml.error.MarkedYAMLException;
import org.yaml.snakeyaml.error.YAMLException;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.parser.ParserImpl;
import org.yaml.snakeyaml.reader.StreamReader;
import org.yaml.snakeyaml.resolver.Resolver;

/**
 * Reads a YAML settings file into a record. Unknown fields, values of a wrong type, missing
 * required fields and numbers out of range are errors; the message names the file, the field and,
 * if the parser knows it, the line.
 */
public final class SettingsReader {
  private SettingsReader() {}

  /**
   * Reads a file.
   *
   * @param file path of the file
   * @param type record that describes its fields
   * @param <T> type of the settings
   * @return validated settings with all defaults filled in
   */
  public static <T extends Record> T read(Path file, Class<T> type) {
    String text;
    try {
      text = Files.readString(file);
    } catch (IOException e) {
      throw invalid(file, "can't read the file: " + e, e);
    }
    if (text.isBlank()) {
      throw invalid(file, "has no fields", null);
    }
    try {
      return RecordMapping.read(compose(text), type, "");
    } catch (RecordMapping.InvalidSetting e) {
      throw invalid(file, e.getMessage(), e);
    } catch (MarkedYAMLException e) {
      String problem = e.getProblem() == null ? e.getContext() : e.getProblem();
      throw invalid(file, "line " + (e.getProblemMark().getLine() + 1) + ": " + problem, e);
    } catch (YAMLException e) {
      throw invalid(file, e.getMessage(), e);
    }
  }

  /** Parses a YAML text into nodes, which carry their line numbers. */
  static Node compose(String text) {
    LoaderOptions options = new LoaderOptions();
    ParserImpl parser = new ParserImpl(new StreamReader(text), options);
    return new Composer(parser, new Resolver(), options).getSingleNode();
  }

  private static StreamcourseException invalid(Path file, String what, Throwable cause) {
    return new StreamcourseException(
        ErrorCode.INVALID_SETTINGS, "read-settings", "", file + ": " + what, 0, cause);
  }

  /**
   * Describes the fields of a settings record for the reference page.
   *
   * @param type record that describes the fields
   * @return lines of a Markdown table
   */
  public static List<String> describe(Class<? extends Record> type) {
    return List.of(type.getRecordComponents()).stream()
        .map(
            component -> {
              Setting setting = component.getAnnotation(Setting.class);
              String fallback = setting.fallback().isEmpty() ? "required" : setting.fallback();
              return "| `"
                  + component.getName()
                  + "` | "
                  + setting.value()
                  + " | "
                  + setting.unit()
                  + " | "
                  + fallback
                  + " |";
            })
        .toList();
  }
}
