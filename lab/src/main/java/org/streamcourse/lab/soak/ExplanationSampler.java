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

/** Samples failed requests and checks whether the log files alone explain their outcome. */
final class ExplanationSampler {
  private static final int SAMPLE_SIZE = 10;

  private final Path logs;
  private final UniformRandomProvider random;

  ExplanationSampler(Path logs, long seed) {
    this.logs = logs;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
  }

  /** Explains up to ten failed requests, drawn at random from those whose error names an id. */
  List<Explained> sample(List<FailedRequest> failed) {
    List<FailedRequest> remaining = new ArrayList<>(failed);
    remaining.sort(Comparator.comparing(FailedRequest::request));
    List<Explained> explained = new ArrayList<>();
    while (!remaining.isEmpty() && explained.size() < SAMPLE_SIZE) {
      explained.add(explain(remaining.remove(random.nextInt(remaining.size())).request()));
    }
    return explained;
  }

  private Explained explain(String request) {
    try {
      Explanation found = new RequestExplainer(logs).explain(request);
      return new Explained(request, found.ofRequest().size(), found.isFinal());
    } catch (StreamcourseException e) {
      // No log line names the request; the EXPLAINED check reports zero steps as a violation.
      return new Explained(request, 0, false);
    }
  }
}
