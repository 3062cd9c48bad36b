package org.streamcourse.process.settings;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Reads fields of JSON texts from outside the process; errors name the offending field. */
public final class JsonFields {
  private static final ObjectMapper JSON =
      new ObjectMapper()
          .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  /** Reports an invalid JSON text. The message names the field and never contains its value. */
  public static final class FormatException extends RuntimeException {
    private static final long serialVersionUID = 1;

    /**
     * Creates an error.
     *
     * @param message name of the field and the form that it must have
     */
    public FormatException(String message) {
      super(message);
    }
  }

  private JsonFields() {}

  /**
   * Parses a JSON text.
   *
   * @param text JSON text
   * @return root node
   */
  public static JsonNode parse(String text) {
    try {
      return JSON.readTree(text);
    } catch (JsonProcessingException e) {
      // Jackson's message may quote the text around the error, which may contain secrets.
      JsonLocation at = e.getLocation();
      String location =
          at == null ? "" : ", line " + at.getLineNr() + " column " + at.getColumnNr();
      throw new FormatException(
          "body: not valid JSON, or a duplicate name in one object" + location);
    }
  }

  /**
   * Checks that a node is a JSON object.
   *
   * @param node node to check, or null
   * @param path name of the node for errors
   */
  public static void requireObject(JsonNode node, String path) {
    if (node == null || !node.isObject()) {
      throw new FormatException(path + ": must be an object");
    }
  }

  /**
   * Reads an array.
   *
   * @param node object with the field
   * @param field name of the field
   * @param path name of the field for errors
   * @return array node
   */
  public static JsonNode list(JsonNode node, String field, String path) {
    JsonNode list = node.path(field);
    if (!list.isArray()) {
      throw new FormatException(path + ": must be a list");
    }
    return list;
  }

  /**
   * Reads a non-empty string.
   *
   * @param node object with the field
   * @param field name of the field
   * @param path name of the object for errors
   * @return the text
   */
  public static String text(JsonNode node, String field, String path) {
    return text(node.path(field), path + '.' + field);
  }

  /**
   * Reads a non-empty string.
   *
   * @param value node to read
   * @param path name of the node for errors
   * @return the text
   */
  public static String text(JsonNode value, String path) {
    if (!value.isTextual() || value.asText().isEmpty()) {
      throw new FormatException(path + ": must be a non-empty string");
    }
    return value.asText();
  }

  /**
   * Reads a non-empty string.
   *
   * @param node object with the field
   * @param field name of the field
   * @param path name of the object for errors
   * @param fallback value for a missing field
   * @return the text
   */
  public static String text(JsonNode node, String field, String path, String fallback) {
    return node.path(field).isMissingNode() ? fallback : text(node, field, path);
  }

  /**
   * Reads a non-negative integer.
   *
   * @param node object with the field, or a missing node
   * @param field name of the field
   * @param path name of the object for errors
   * @param fallback value for a missing field, or null if the field is required
   * @return the number
   */
  public static long number(JsonNode node, String field, String path, Long fallback) {
    if (!node.isMissingNode()) {
      requireObject(node, path);
    }
    JsonNode value = node.path(field);
    if (value.isMissingNode() && fallback != null) {
      return fallback;
    }
    if (!value.isIntegralNumber() || !value.canConvertToLong() || value.asLong() < 0) {
      throw new FormatException(path + '.' + field + ": must be a non-negative integer");
    }
    return value.asLong();
  }

  /**
   * Reads a non-negative integer. One beyond the range of {@code int} counts as the largest one.
   *
   * @param node object with the field, or a missing node
   * @param field name of the field
   * @param path name of the object for errors
   * @param fallback value for a missing field, or null if the field is required
   * @return the number
   */
  public static int integer(JsonNode node, String field, String path, Long fallback) {
    return (int) Math.min(Integer.MAX_VALUE, number(node, field, path, fallback));
  }

  /**
   * Reads a non-negative number.
   *
   * @param node object with the field
   * @param field name of the field
   * @param path name of the object for errors
   * @param fallback value for a missing field
   * @return the number
   */
  public static double decimal(JsonNode node, String field, String path, double fallback) {
    JsonNode value = node.path(field);
    if (value.isMissingNode()) {
      return fallback;
    }
    if (!value.isNumber() || !(value.asDouble() >= 0) || Double.isInfinite(value.asDouble())) {
      throw new FormatException(path + '.' + field + ": must be a non-negative number");
    }
    return value.asDouble();
  }

  /**
   * Reads a boolean.
   *
   * @param node object with the field
   * @param field name of the field
   * @param path name of the object for errors
   * @return value of the field, false if it is missing
   */
  public static boolean flag(JsonNode node, String field, String path) {
    JsonNode value = node.path(field);
    if (!value.isMissingNode() && !value.isBoolean()) {
      throw new FormatException(path + '.' + field + ": must be true or false");
    }
    return value.asBoolean(false);
  }
}
