package org.streamcourse.version.control;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import net.logstash.logback.argument.StructuredArguments;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Keeps the newest decisions in memory, and writes each one to the log. */
public final class DecisionHistory {
  private static final Logger LOG = LoggerFactory.getLogger(DecisionHistory.class);
  private static final int MAX_DECISIONS = 1_000;
  private static final int MAX_CHARACTERS = 1024 * 1024;

  private final Deque<Decision> decisions = new ArrayDeque<>();
  private long characters;

  /**
   * Records a decision.
   *
   * @param decision the decision
   */
  public void record(Decision decision) {
    decisions.addLast(decision);
    characters += length(decision);
    while (decisions.size() > MAX_DECISIONS || characters > MAX_CHARACTERS) {
      characters -= length(decisions.removeFirst());
    }
    LOG.info(
        "decision {} {} {} {} {}",
        StructuredArguments.keyValue("kind", decision.kind()),
        StructuredArguments.keyValue("subject", decision.subject()),
        StructuredArguments.keyValue("cause", decision.cause()),
        StructuredArguments.keyValue("inputs", decision.inputs()),
        StructuredArguments.keyValue("outcome", decision.outcome()));
  }

  private static long length(Decision decision) {
    return (long) decision.subject().length()
        + decision.cause().length()
        + decision.inputs().length()
        + decision.outcome().length();
  }

  /**
   * Returns the kept decisions.
   *
   * @return oldest first
   */
  public List<Decision> all() {
    return List.copyOf(decisions);
  }
}
