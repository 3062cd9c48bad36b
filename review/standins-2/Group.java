package standins2;

import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** One service: a primary and its replicas, as PROTOCOL.md describes them (sync-replicas 0). */
public final class Group {
  /** One record of a member's log. */
  public record Entry(long term, long number, String thing, String data, String id) {}

  private static final double LAG_SPREAD = 0.6;
  private static final int LAG_MAX_FACTOR = 6;

  public final String name;
  public final List<Member> members = new CopyOnWriteArrayList<>();
  final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2, Member::daemon);
  private final Random random = new Random(1);
  private final long lagMillis;
  private final long promoteMillis;
  private long highestFence = -1;

  /** Number of replicas, 0 or 1, that receive a commit before it is answered. */
  public volatile int syncReplicas;

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
        send(at, other, number);
      }
    }
    return entry;
  }

  /** Sends records up to a number; they arrive in order, after a lag that varies. */
  private void send(Member from, Member to, long number) {
    long now = System.nanoTime() / 1_000;
    double lag = lagMillis * Math.exp(LAG_SPREAD * random.nextGaussian());
    long arrival = now + Math.round(1_000 * Math.min(LAG_MAX_FACTOR * lagMillis, lag));
    to.nextArrivalMicros = Math.max(to.nextArrivalMicros, arrival);
    timer.schedule(
        () -> replicate(from, to, number), to.nextArrivalMicros - now, TimeUnit.MICROSECONDS);
  }

  private synchronized void replicate(Member from, Member to, long number) {
    if (from.primary && from.running && to.running && to.pausedTerm == 0) {
      int same = Math.min(to.log.size(), from.log.size());
      while (same > 0 && to.log.get(same - 1) != from.log.get(same - 1)) {
        same--;
      }
      to.log.subList(same, to.log.size()).clear();
      int end = (int) Math.min(number, from.log.size());
      if (same < end) {
        to.log.addAll(from.log.subList(same, end));
      }
      notifyAll();
    }
  }

  /** Sends a replica what the primary has, after the replica has started or was resumed. */
  synchronized void catchUp(Member replica) {
    Member from = primary();
    if (from != null && from != replica) {
      send(from, replica, from.log.size());
    }
  }

  /**
   * Waits until a replica has received a commit; returns false when the member lost the lead
   * before.
   */
  synchronized boolean awaitReceived(Member at, Entry entry) throws InterruptedException {
    while (syncReplicas > 0) {
      if (!at.primary || at.term != entry.term()) {
        return false;
      }
      for (Member other : members) {
        if (other != at && other.running && other.holds(entry)) {
          return true;
        }
      }
      wait(100);
    }
    return true;
  }

  /** Makes a primary of a lower term a replica. */
  synchronized void stepDown(Member member, long newTerm) {
    if (member.primary && member.term < newTerm) {
      member.primary = false;
      notifyAll();
      member.beatNow();
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
    members.forEach(m -> m.pausedTerm = 0);
    target.primary = true;
    notifyAll();
    target.record.line(
        "LEADS " + target.id + " in term " + term + " with " + target.log.size() + " records");
    members.forEach(m -> m.term = term);
    for (Member other : members) {
      if (other != target) {
        send(target, other, target.log.size());
      }
    }
    members.forEach(Member::beatNow);
  }

  /** Returns the present primary, or null. */
  public Member leader() {
    return primary();
  }

  /** Returns the ids of the statements whose commits a member's log holds. */
  public synchronized Set<String> idsOf(Member member) {
    Set<String> ids = new TreeSet<>();
    member.log.forEach(entry -> ids.add(entry.id()));
    return ids;
  }

  public void later(Runnable task, long millis) {
    timer.schedule(task, millis, TimeUnit.MILLISECONDS);
  }
}
