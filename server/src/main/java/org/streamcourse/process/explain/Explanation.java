package org.streamcourse.process.explain;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The logged decisions and state changes that led to a request's end, in chronological order.
 *
 * @param request id of the request
 * @param steps decisions about the request, and state changes shortly before and during it
 * @param isFinal whether the last decision about the request reports how the request ended
 * @param cause description of the final decision, the one before it and the last state change
 */
public record Explanation(String request, List<Step> steps, boolean isFinal, String cause) {

  /**
   * One logged decision about the request, or one state change of a node or member.
   *
   * @param at time of the decision
   * @param node process that logged the decision
   * @param ofRequest whether the line carries the id of the request
   * @param what text of the log message
   * @param step step of the request, or kind of the decision
   * @param peer node or member that the decision is about
   * @param outcome result of the decision
   * @param inputs facts behind the decision, with ages and versions
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
   * @return steps without the state changes
   */
  public List<Step> ofRequest() {
    return steps.stream().filter(Step::ofRequest).toList();
  }

  /**
   * Formats the explanation as text.
   *
   * @return lines, of which the last one names the cause
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
