package org.streamcourse.lab.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.streamcourse.lab.fleet.Fleet;
import org.streamcourse.lab.workload.Journal;
import org.streamcourse.version.image.TermPosition;

/**
 * Computes how many reads replicas could have served if the router knew every member's log position
 * without delay. A read counts when, at the time it reaches the proxy, some replica has applied the
 * read's floor and everything that the primary had applied one staleness limit earlier.
 */
final class Oracle {
  private final List<PositionTimeline> timelines = new ArrayList<>();
  private final long callerNanos;
  private final long stalenessNanos;

  Oracle(Fleet fleet, long maxStalenessMillis) {
    callerNanos = TimeUnit.MICROSECONDS.toNanos(fleet.profile().callerMicros());
    stalenessNanos = TimeUnit.MILLISECONDS.toNanos(maxStalenessMillis);
    fleet.members().forEach(member -> timelines.add(new PositionTimeline(member)));
  }

  void start() {
    for (PositionTimeline timeline : timelines) {
      Thread thread = new Thread(timeline, "timeline");
      thread.setDaemon(true);
      thread.start();
    }
  }

  void stop() {
    timelines.forEach(PositionTimeline::stop);
  }

  long countServable(List<Journal.Read> reads) {
    return reads.stream().filter(this::isServable).count();
  }

  private boolean isServable(Journal.Read read) {
    long at = read.startNanos() + callerNanos;
    List<PositionTimeline> group =
        timelines.stream()
            .filter(each -> each.member().database().equals(read.database()))
            .toList();
    TermPosition needed =
        group.stream()
            .map(each -> each.at(at - stalenessNanos))
            .filter(PositionTimeline.State::primary)
            .map(PositionTimeline.State::applied)
            .reduce(read.floor(), TermPosition::max);
    return group.stream()
        .map(each -> each.at(at))
        .anyMatch(state -> !state.primary() && state.applied().reaches(needed));
  }
}
