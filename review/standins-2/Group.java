package standins2;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** One service: a primary and its replicas, as PROTOCOL.md describes them (sync-replicas 0). */
public final class Group {
  /** One record of a member's log. */
  public record Entry(long term, long number, String thing, String data, String id) {}

  public final String name;
  public final List<Member> members = new ArrayList<>();
  final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2, Member::daemon);
  private final long lagMillis;
  private final long promoteMillis;
  private long highestFence = -1;

  public Group(String name, long lagMillis, long promoteMillis) {
    this.name = name;
    this.lagMillis = lagMillis;
    this.promoteMillis = promoteMillis;
  }

  synchronized Member primary() {
    return members.stream().filter(m -> m.primary && m.running).findFirst().orElse(null);
  }

  /** Commits at the primary; the replicas receive the record later. */
  synchronized Entry commit(Member at, String thing, String data, String id) {
    Entry last = at.last();
    long number = last == null ? 1 : last.number() + 1;
    Entry entry = new Entry(at.term, number, thing, data, id);
    at.log.add(entry);
    for (Member other : members) {
      if (other != at) {
        timer.schedule(() -> replicate(at, other), lagMillis, TimeUnit.MILLISECONDS);
      }
    }
    return entry;
  }

  private synchronized void replicate(Member from, Member to) {
    if (from.primary && from.running && to.running) {
      to.log.clear();
      to.log.addAll(from.log);
    }
  }

  /** Answers POST /promote: 200, or 409 for a lower fence or a member that isn't running. */
  synchronized int promote(String id, long fence) {
    Member target =
        members.stream().filter(m -> m.id.equals(id) && m.running).findFirst().orElse(null);
    if (target == null || fence < highestFence) {
      return 409;
    }
    highestFence = fence;
    if (!target.primary) {
      timer.schedule(() -> lead(target), promoteMillis, TimeUnit.MILLISECONDS);
    }
    return 200;
  }

  private synchronized void lead(Member target) {
    if (!target.running || target.primary) {
      return;
    }
    long term = members.stream().mapToLong(m -> m.term).max().orElse(0) + 1;
    members.forEach(m -> m.primary = false);
    target.primary = true;
    members.forEach(m -> m.term = term);
    for (Member other : members) {
      if (other != target) {
        timer.schedule(() -> replicate(target, other), lagMillis, TimeUnit.MILLISECONDS);
      }
    }
    members.forEach(Member::beatNow);
  }
}
