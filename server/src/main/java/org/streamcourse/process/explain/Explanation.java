package org.streamcourse.process.explain;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The decisions that led to a request's end, in the order of time.
 *
 * @param request its id
 * @param steps decisions about the request, and beliefs that changed meanwhile
 * @param isFinal whether the last decision about the request tells how it ended
 * @param cause why it ended so
 */
public record Explanation(String request, List<Step> steps, boolean isFinal, String cause) {

  /**
   * One decision, or one changed belief.
   *
   * @param at when it was made
   * @param node process that made it
   * @param ofRequest whether it is about the request itself
   * @param what what it is about
   * @param step step at which it arose
   * @param peer the node or member on the other side
   * @param outcome how it was decided
   * @param inputs what it rested on, with ages and versions
   */
  public record Step(
      Instant at,
      String node,
      boolean ofRequest,
      String what,
      String step,
      String peer,
      String outcome,
      Map<String, String> inputs) {

    private String line(Instant end) {
      StringBuilder line = new StringBuilder();
      line.append(at).append("  ").append(node).append("  ").append(what);
      append(line, "step", step);
      append(line, "peer", peer);
      append(line, "outcome", outcome);
      inputs.forEach((name, value) -> append(line, name, value));
      append(line, "millisBeforeEnd", Long.toString(Duration.between(at, end).toMillis()));
      return line.toString();
    }

    private static void append(StringBuilder line, String name, String value) {
      if (!value.isEmpty()) {
        line.append("  ").append(name).append('=').append(value);
      }
    }
  }

  /**
   * Returns the decisions about the request itself.
   *
   * @return steps without the beliefs
   */
  public List<Step> ofRequest() {
    return steps.stream().filter(Step::ofRequest).toList();
  }

  /**
   * Writes it for people.
   *
   * @return lines; the last one tells the cause
   */
  public List<String> lines() {
    Instant end = steps.get(steps.size() - 1).at();
    List<String> lines = new ArrayList<>();
    lines.add("request " + request);
    steps.forEach(each -> lines.add(each.line(end)));
    lines.add("cause: " + cause);
    return lines;
  }
}
