package org.streamcourse.lab.soak;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.streamcourse.lab.soak.SoakHistory.Explained;
import org.streamcourse.lab.workload.Journal.FailedRequest;
import org.streamcourse.process.StreamcourseException;
import org.streamcourse.process.explain.Explanation;
import org.streamcourse.process.explain.RequestExplainer;

/** Draws failed requests and looks up whether the logs alone explain them. */
final class ExplainScore {
  private static final int DRAWN = 10;

  private final Path logs;
  private final UniformRandomProvider random;

  ExplainScore(Path logs, long seed) {
    this.logs = logs;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
  }

  /** Draws up to ten of the failed requests whose answers told an id, and explains each. */
  List<Explained> draw(List<FailedRequest> failed) {
    List<FailedRequest> left = new ArrayList<>(failed);
    left.sort(Comparator.comparing(FailedRequest::request));
    List<Explained> explained = new ArrayList<>();
    while (!left.isEmpty() && explained.size() < DRAWN) {
      explained.add(explain(left.remove(random.nextInt(left.size())).request()));
    }
    return explained;
  }

  private Explained explain(String request) {
    try {
      Explanation found = new RequestExplainer(logs).explain(request);
      return new Explained(request, found.ofRequest().size(), found.isFinal());
    } catch (StreamcourseException e) {
      // No line names it, which the check reports.
      return new Explained(request, 0, false);
    }
  }
}
