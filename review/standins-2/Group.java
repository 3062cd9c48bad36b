package standins2;

import java.util.List;
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

  public final String name;
  public final List<Member> members = new CopyOnWriteArrayList<>();
  final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2, Member::daemon);
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
        timer.schedule(() -> replicate(at, other), lagMillis, TimeUnit.MILLISECONDS);
      }
    }
    return entry;
  }

  private synchronized void replicate(Member from, Member to) {
    if (from.primary && from.running && to.running && to.pausedTerm == 0) {
      to.log.clear();
      to.log.addAll(from.log);
      notifyAll();
    }
  }

  /** Sends a replica what the primary has, after the replica has started or was resumed. */
  void catchUp(Member replica) {
    Member from = primary();
    if (from != null && from != replica) {
      timer.schedule(() -> replicate(from, replica), lagMillis, TimeUnit.MILLISECONDS);
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
        if (other != at && other.running && other.log.contains(entry)) {
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
        timer.schedule(() -> replicate(target, other), lagMillis, TimeUnit.MILLISECONDS);
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
