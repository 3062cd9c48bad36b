package org.streamcourse.version.control;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.streamcourse.version.control.ServiceCall.Result;
import org.streamcourse.version.image.ClusterImage;

/** Calls that are answered as done once the agreed image has their effect. */
final class PendingCalls {
  private record PendingCall(Predicate<ClusterImage> done, Consumer<Result> answer) {}

  private final List<PendingCall> calls = new ArrayList<>();

  /**
   * Answers a call now, or when its effect is agreed.
   *
   * @param image agreed image
   * @param done returns whether an image has the effect; kept with the call, so it must not hold a
   *     document
   * @param answer receives the result
   */
  void add(ClusterImage image, Predicate<ClusterImage> done, Consumer<Result> answer) {
    if (done.test(image)) {
      answer.accept(Result.DONE);
    } else {
      calls.add(new PendingCall(done, answer));
    }
  }

  /** Answers the calls whose effect an image has. */
  void applied(ClusterImage image) {
    for (PendingCall each : List.copyOf(calls)) {
      if (each.done().test(image)) {
        calls.remove(each);
        each.answer().accept(Result.DONE);
      }
    }
  }

  /** Forgets all calls; they are not answered. */
  void clear() {
    calls.clear();
  }
}
