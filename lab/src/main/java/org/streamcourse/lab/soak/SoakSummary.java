package org.streamcourse.lab.soak;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.streamcourse.lab.workload.Journal;
import org.streamcourse.lab.workload.WriteOutcome;

/** Formats a run's result as JSON. */
final class SoakSummary {
  private static final double MICROS_PER_MILLI = 1_000.0;
  private static final double HIGH_PERCENTILE = 99;
  private static final double MEDIAN = 50;

  private SoakSummary() {}

  static ObjectNode of(SoakResult result) {
    ObjectNode json = new ObjectMapper().createObjectNode();
    SoakSettings settings = result.settings();
    json.put("seed", settings.seed());
    json.put("passed", result.passed());
    json.put("seconds", settings.seconds());
    json.put("edges", settings.edges());
    json.put("controllers", settings.controllers());
    json.put("groups", settings.groups());
    addFaults(json.putArray("faults"), result.events());
    addChecks(json.putObject("checks"), result.violations());
    addCounts(json.putObject("counts"), result.journal());
    addLatencies(json.putObject("latencies"), result.journal());
    addRecovery(json.putObject("recoverySeconds"), result.history().recoverySeconds());
    addExplained(json.putObject("explained"), result.history().explained());
    return json;
  }

  private static void addFaults(ArrayNode faults, List<FaultEvent> events) {
    for (FaultEvent event : events) {
      faults
          .addObject()
          .put("beganMillis", event.beganMillis())
          .put("endedMillis", event.endedMillis())
          .put("fault", event.planned().fault().toString())
          .put("outcome", event.outcome());
    }
  }

  private static void addChecks(ObjectNode checks, Map<SoakCheck, List<String>> violations) {
    violations.forEach(
        (check, found) -> {
          ObjectNode entry = checks.putObject(check.label());
          entry.put("violations", found.size());
          ArrayNode texts = entry.putArray("found");
          found.forEach(texts::add);
        });
  }

  private static void addCounts(ObjectNode counts, Journal journal) {
    for (WriteOutcome outcome : WriteOutcome.values()) {
      counts.put("writes " + outcome, journal.count(outcome));
    }
    counts.put("reads", journal.reads().size());
    counts.put("own reads", journal.ownReads().size());
    counts.put("read errors", journal.readErrors());
    counts.put("failed requests with id", journal.failedRequests().size());
    ObjectNode errors = counts.putObject("errors");
    journal.errors().forEach((text, count) -> errors.put(text, count.get()));
  }

  private static void addLatencies(ObjectNode latencies, Journal journal) {
    addLatency(latencies.putObject("reads"), journal.readMicros());
    addLatency(latencies.putObject("writes"), journal.writeMicros());
    addLatency(latencies.putObject("refusals"), journal.refusalMicros());
  }

  private static void addLatency(ObjectNode node, Histogram micros) {
    node.put("medianMillis", micros.getValueAtPercentile(MEDIAN) / MICROS_PER_MILLI);
    node.put("p99Millis", micros.getValueAtPercentile(HIGH_PERCENTILE) / MICROS_PER_MILLI);
    node.put("maxMillis", micros.getMaxValue() / MICROS_PER_MILLI);
  }

  private static void addRecovery(ObjectNode node, Map<String, Double> seconds) {
    node.put("limit", SoakCheck.RECOVERY_SECONDS);
    seconds.forEach((route, value) -> node.put(route, Math.round(value * 100) / 100.0));
  }

  private static void addExplained(ObjectNode node, List<SoakHistory.Explained> explained) {
    node.put("drawn", explained.size());
    node.put("whole", explained.stream().filter(SoakHistory.Explained::isComplete).count());
    ArrayNode requests = node.putArray("requests");
    explained.forEach(each -> requests.add(each.toString()));
  }
}
