package org.streamcourse.lab.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.streamcourse.lab.workload.Journal;

/**
 * The result of a finished run.
 *
 * @param settings size and length of the run
 * @param history observations that the checks use
 * @param events executed faults
 * @param journal responses that callers received
 */
record SoakResult(
    SoakSettings settings, SoakHistory history, List<FaultEvent> events, Journal journal) {

  /** Returns the violations by check; the list of a check that passed is empty. */
  Map<SoakCheck, List<String>> violations() {
    Map<SoakCheck, List<String>> found = new TreeMap<>();
    for (SoakCheck check : SoakCheck.values()) {
      found.put(check, check.violations(history));
    }
    return found;
  }

  boolean passed() {
    return violations().values().stream().allMatch(List::isEmpty);
  }

  /** Returns the names of the checks that failed. */
  List<String> failedChecks() {
    List<String> names = new ArrayList<>();
    violations()
        .forEach(
            (check, found) -> {
              if (!found.isEmpty()) {
                names.add(check.label());
              }
            });
    return names;
  }
}
