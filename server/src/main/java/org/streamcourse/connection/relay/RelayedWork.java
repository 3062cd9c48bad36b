package org.streamcourse.connection.relay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import org.streamcourse.connection.member.CommandListener;
import org.streamcourse.connection.member.LinkRequest;
import org.streamcourse.connection.member.MemberCommand;
import org.streamcourse.connection.member.MemberLink;
import org.streamcourse.connection.member.MemberLinks;
import org.streamcourse.request.statement.Answer;
import org.streamcourse.request.statement.AnswerCode;
import org.streamcourse.request.statement.SessionState;
import org.streamcourse.version.image.TenantId;

/**
 * One stream at the node that holds connections: waits for a link, and runs one step after the
 * other on it. A step that follows a failed one is not run.
 */
final class RelayedWork implements LinkRequest {
  /** Pause before work begins anew, so that work that ends its links ends only a few. */
  private static final long ANEW_MILLIS = 20;

  private final RelayServer server;
  private final String sender;
  private final RelayMessage.Open open;
  private final MemberLinks links;
  private final Deque<RelayMessage.Step> steps = new ArrayDeque<>();
  private final List<Answer> answers = new ArrayList<>();
  private boolean finishing;
  private Map<String, String> values;
  private MemberLink link;
  private boolean working;
  private boolean ended;
  private long lastMillis;
  private final RelayedFloor floor;
  private RelayMessage.Step lastStep;

  /** Whether the sender has been told an answer, or the member answered a caller's statement. */
  private boolean begun;

  /** Time until which the work may wait for a connection, or begin on one anew. */
  private final long untilMillis;

  RelayedWork(RelayServer server, String sender, RelayMessage.Open open, MemberLinks links) {
    this.server = server;
    this.sender = sender;
    this.open = open;
    this.links = links;
    this.values = open.values();
    this.lastMillis = server.now();
    this.untilMillis = lastMillis + open.maxWaitMillis();
    this.floor = new RelayedFloor(open.floor(), links.state(), server.now());
    steps.addAll(open.steps());
  }

  /**
   * Asks for a link once the member is expected to have what the read needs, or refuses when that
   * is too late.
   */
  void start() {
    if (ended) {
      return;
    }
    long catchUpMillis = floor.untilServed(server.now());
    if (floor.isTooLate(catchUpMillis, server.now())) {
      refuse(
          RelayMessage.Refusal.BEHIND,
          "the member lacks the floor for another " + catchUpMillis + " ms",
          catchUpMillis);
    } else if (catchUpMillis > 0) {
      server.later(catchUpMillis, this::start);
    } else {
      links.acquire(this);
    }
  }

  String sender() {
    return sender;
  }

  long stream() {
    return open.stream();
  }

  /** Time for which the sender has owed the next step, in milliseconds; 0 while it owes none. */
  long restsFor() {
    return link == null || working ? 0 : server.now() - lastMillis;
  }

  boolean hasLink() {
    return link != null;
  }

  // ---- the wish for a link ----

  @Override
  public TenantId tenant() {
    return open.tenant();
  }

  @Override
  public boolean takesAnyTenant() {
    return open.anyTenant();
  }

  @Override
  public int priority() {
    return open.priority();
  }

  @Override
  public boolean needsPrimary() {
    return open.needsPrimary();
  }

  @Override
  public boolean mayBeRelayed() {
    return false;
  }

  @Override
  public long maxWaitMillis() {
    return Math.max(1, untilMillis - server.now());
  }

  @Override
  public Map<String, String> sessionValues() {
    return values;
  }

  @Override
  public void granted(MemberLink granted) {
    if (ended) {
      links.release(granted);
      return;
    }
    link = granted;
    next();
  }

  @Override
  public void refused(String cause, long retryAfterMillis) {
    if (ended) {
      return;
    }
    boolean usable = open.needsPrimary() ? links.isUsableAsPrimary() : links.isUsable();
    refuse(
        usable ? RelayMessage.Refusal.BUSY : RelayMessage.Refusal.MEMBER_UNUSABLE,
        cause,
        retryAfterMillis);
  }

  private void refuse(RelayMessage.Refusal refusal, String cause, long retryAfterMillis) {
    ended = true;
    server.forget(sender, open.stream());
    server.refuse(sender, open, refusal, cause, retryAfterMillis, links.state().observation());
  }

  // ---- steps ----

  void goOn(Map<String, String> changed, List<RelayMessage.Step> more) {
    begun = true;
    values = changed == null ? values : changed;
    steps.addAll(more);
    lastMillis = server.now();
    if (link != null && !working) {
      next();
    }
  }

  private void next() {
    RelayMessage.Step step = steps.poll();
    if (step == null) {
      return;
    }
    if (step instanceof RelayMessage.Finish) {
      end();
      return;
    }
    working = true;
    lastStep = step;
    link.applyValues(values);
    StepEnd end = new StepEnd(begun || !isBeginning(step));
    if (begun) {
      link.run(command(step), end);
    } else {
      link.run(command(step), end, untilMillis);
    }
  }

  private static boolean isBeginning(RelayMessage.Step step) {
    return step instanceof RelayMessage.Direct direct
        && direct.command() instanceof MemberCommand.BeginTransaction;
  }

  private MemberCommand command(RelayMessage.Step step) {
    if (step instanceof RelayMessage.ExecuteShape execute) {
      String name = link.prepare(execute.shape());
      return new MemberCommand.RunPrepared(
          execute.id(), name, execute.arguments(), execute.floor());
    }
    return ((RelayMessage.Direct) step).command();
  }

  /** The member was asked no statement of a caller: the work begins anew while there is time. */
  private void beginAnew(String cause) {
    working = false;
    steps.clear();
    steps.addAll(open.steps());
    answers.clear();
    MemberLink given = link;
    link = null;
    links.releaseRolledBack(given);
    if (server.now() + ANEW_MILLIS < untilMillis) {
      server.later(ANEW_MILLIS, this::start);
    } else {
      refused(cause, links.estimatedWaitMillis());
    }
  }

  private final class StepEnd implements CommandListener {
    /** Whether the work may have run once this step was sent. */
    private final boolean begins;

    StepEnd(boolean begins) {
      this.begins = begins;
    }

    @Override
    public void answered(Answer answer) {
      working = false;
      lastMillis = server.now();
      links.state().onAnswer(answer.position());
      if (ended) {
        return;
      }
      boolean behind = answer.code() == AnswerCode.BEHIND && answer.state() == SessionState.IDLE;
      if (behind && floor.mayAskAgain(server.now())) {
        askAgainLater();
        return;
      }
      begun |= begins;
      answers.add(answer);
      if (!answer.isComplete()) {
        finishing = steps.peekLast() instanceof RelayMessage.Finish;
        steps.clear();
      }
      if (answer.code() == AnswerCode.UNKNOWN_NAME) {
        // What this node believes to be prepared there is not.
        link.close();
      }
      if (steps.isEmpty() || steps.peek() instanceof RelayMessage.Finish) {
        tellAnswers();
      }
      boolean idle = answer.state() == SessionState.IDLE && steps.isEmpty();
      if (idle || finishing) {
        end();
      } else {
        next();
      }
    }

    /** Nothing was run; the member has the place a moment later, sooner than another is asked. */
    private void askAgainLater() {
      steps.addFirst(lastStep);
      MemberLink given = link;
      link = null;
      links.releaseRolledBack(given);
      start();
    }

    private void tellAnswers() {
      begun = true;
      server.send(
          sender,
          new RelayMessage.Answered(
              open.stream(), List.copyOf(answers), links.state().observation()));
      answers.clear();
    }

    @Override
    public void notSent(String cause) {
      if (!ended && !begun) {
        beginAnew(cause);
      } else {
        lost(cause);
      }
    }

    @Override
    public void lost(String cause) {
      if (!ended && !begins) {
        beginAnew(cause);
      } else if (!ended) {
        server.endedUnanswered(sender, open, true, "the member was lost: " + cause);
        working = false;
        end();
        server.send(sender, new RelayMessage.Ended(open.stream(), "the member was lost: " + cause));
      }
    }
  }

  /** Ends before all is answered. */
  void giveUp(String cause) {
    boolean owesAnswer = link == null || working;
    if (!ended && owesAnswer) {
      server.endedUnanswered(sender, open, link != null, cause);
    }
    end();
  }

  /** Gives the link back, rolled back where something is open on it. */
  void end() {
    if (ended) {
      return;
    }
    ended = true;
    server.forget(sender, open.stream());
    if (link == null) {
      return;
    }
    if (working && !link.cancelWaiting()) {
      link.close();
      links.release(link);
    } else {
      links.releaseRolledBack(link);
    }
  }
}
