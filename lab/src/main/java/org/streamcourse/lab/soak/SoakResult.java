package org.streamcourse.lab.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.streamcourse.lab.workload.Journal;

/**
 * A finished run.
 *
 * @param settings its size and length
 * @param history what was seen
 * @param events what became of the faults
 * @param journal what callers noted
 */
record SoakResult(
    SoakSettings settings, SoakHistory history, List<FaultEvent> events, Journal journal) {

  /** Returns the violations of each check, also of those without any. */
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
