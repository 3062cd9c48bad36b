package org.streamcourse.request.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.streamcourse.connection.peer.PeerNetwork;
import org.streamcourse.process.Worker;
import org.streamcourse.request.StreamMessage.AwaitReceived;
import org.streamcourse.request.StreamMessage.ReceivedReport;
import org.streamcourse.version.image.Allowance;
import org.streamcourse.version.image.GroupImage;
import org.streamcourse.version.image.MemberImage;
import org.streamcourse.version.image.TermPosition;

/**
 * Holds the answers of commits at a primary until a majority of the group is known to have received
 * them under the primary's term.
 *
 * <p>This is safe without clocks: before a new primary is promoted, a majority must be fenced at
 * its newer term. A fenced replica accepts nothing more under the old term, and the change of
 * primary takes into account everything that the replica received before. So a commit that a
 * majority received under its term is in the log of every later primary, and a replaced primary
 * finds no majority for its later writes.
 *
 * <p>All methods run on the gateway's worker.
 */
public final class CommitAcknowledger {
  private static final class Commit {
    final long term;
    final TermPosition position;
    final long deadline;
    final Consumer<Boolean> answer;

    Commit(long term, TermPosition position, long deadline, Consumer<Boolean> answer) {
      this.term = term;
      this.position = position;
      this.deadline = deadline;
      this.answer = answer;
    }
  }

  private final Worker worker;
  private final PeerNetwork network;
  private final GatewaySettings settings;
  private final String primary;
  private final Map<String, ReceivedReport> reports = new HashMap<>();
  private final List<Commit> waiting = new ArrayList<>();
  private GroupImage group;
  private int requestRounds;
  private boolean timerSet;

  /**
   * Creates an acknowledger.
   *
   * @param worker the gateway's worker
   * @param network sends messages to the replicas' gateways
   * @param settings timing
   * @param group image of the group
   * @param primary member whose commits are acknowledged
   */
  public CommitAcknowledger(
      Worker worker,
      PeerNetwork network,
      GatewaySettings settings,
      GroupImage group,
      String primary) {
    this.worker = worker;
    this.network = network;
    this.settings = settings;
    this.group = group;
    this.primary = primary;
  }

  /**
   * Replaces the image of the group.
   *
   * @param image new image of the group
   */
  public void update(GroupImage image) {
    group = image;
  }

  /**
   * Waits until a majority has received a commit.
   *
   * @param position log position of the commit; a majority must receive it under the position's
   *     term
   * @param answer receives true once a majority has the commit, false if that takes longer than
   *     {@code acknowledgeMillis}
   */
  public void await(TermPosition position, Consumer<Boolean> answer) {
    await(position.term(), position, answer);
  }

  /**
   * Waits until a majority has received the log up to a position under a term.
   *
   * @param term the primary's term, not below the term of the position
   * @param position log position
   * @param answer receives true once a majority has the position, false if that takes longer than
   *     {@code acknowledgeMillis}
   */
  public void await(long term, TermPosition position, Consumer<Boolean> answer) {
    Commit commit = new Commit(term, position, worker.now() + settings.acknowledgeMillis(), answer);
    if (isReceived(commit)) {
      answer.accept(true);
      return;
    }
    waiting.add(commit);
    requestReports(commit.term, commit.position);
    setTimer();
  }

  /**
   * Handles a report of a replica's gateway; an outdated one is ignored.
   *
   * @param report log position that the replica has received
   */
  public void onReport(ReceivedReport report) {
    ReceivedReport known = reports.get(report.member());
    boolean newer =
        known == null
            || report.term() > known.term()
            || (report.term() == known.term() && report.matched().reaches(known.matched()));
    if (!newer) {
      return;
    }
    reports.put(report.member(), report);
    release();
  }

  private void release() {
    List<Commit> done = new ArrayList<>();
    Iterator<Commit> commits = waiting.iterator();
    while (commits.hasNext()) {
      Commit commit = commits.next();
      if (isReceived(commit)) {
        commits.remove();
        done.add(commit);
      }
    }
    done.forEach(commit -> commit.answer.accept(true));
  }

  private boolean isReceived(Commit commit) {
    long received =
        1
            + group.members().stream()
                .filter(member -> !member.name().equals(primary))
                .map(member -> reports.get(member.name()))
                .filter(
                    report ->
                        report != null
                            && report.term() == commit.term
                            && report.matched().reaches(commit.position))
                .count();
    return received >= group.majority();
  }

  /** Requests a report on each replica from one of its gateways, a different one at each retry. */
  private void requestReports(long term, TermPosition position) {
    for (MemberImage member : group.members()) {
      List<Allowance> gateways = member.allowances();
      if (!member.name().equals(primary) && !gateways.isEmpty()) {
        String gateway = gateways.get(requestRounds % gateways.size()).node();
        network.send(gateway, new AwaitReceived(group.name(), member.name(), term, position));
      }
    }
  }

  private void setTimer() {
    if (!timerSet) {
      timerSet = true;
      worker.schedule(settings.requestRetryMillis(), this::onTimer);
    }
  }

  private void onTimer() {
    timerSet = false;
    long now = worker.now();
    List<Commit> expired = waiting.stream().filter(commit -> commit.deadline <= now).toList();
    waiting.removeAll(expired);
    expired.forEach(commit -> commit.answer.accept(false));
    if (waiting.isEmpty()) {
      return;
    }
    requestRounds++;
    Commit last = waiting.get(waiting.size() - 1);
    requestReports(last.term, last.position);
    setTimer();
  }
}
