package org.streamcourse.version.control;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.streamcourse.version.control.ControlMessage.CommandOutcome;

/**
 * Outcomes of the newest commands, for commands that are sent again. Part of the replicated state,
 * so its limits are the same on all controllers, whatever memory they have.
 */
final class CommandOutcomes {
  private static final int MAX_OUTCOMES = 4_096;
  private static final int MAX_CHARACTERS = 1024 * 1024;

  private final Map<String, CommandOutcome> outcomes = new LinkedHashMap<>();
  private long characters;

  Optional<CommandOutcome> find(String commandId) {
    return Optional.ofNullable(outcomes.get(commandId));
  }

  /** Adds the outcome of a command that has none yet, and drops the oldest ones. */
  void add(String commandId, CommandOutcome outcome) {
    outcomes.put(commandId, outcome);
    characters += length(commandId, outcome);
    while (outcomes.size() > MAX_OUTCOMES || characters > MAX_CHARACTERS) {
      Map.Entry<String, CommandOutcome> oldest = outcomes.entrySet().iterator().next();
      characters -= length(oldest.getKey(), oldest.getValue());
      outcomes.remove(oldest.getKey());
    }
  }

  private static long length(String commandId, CommandOutcome outcome) {
    return (long) commandId.length() + outcome.detail().length();
  }

  void clear() {
    outcomes.clear();
    characters = 0;
  }

  /** Returns the ids of the commands, oldest first. */
  List<String> ids() {
    return new ArrayList<>(outcomes.keySet());
  }

  /** Returns the outcomes, oldest first. */
  List<CommandOutcome> all() {
    return new ArrayList<>(outcomes.values());
  }

  /** Returns the length of all ids and details. */
  long characters() {
    return characters;
  }
}
