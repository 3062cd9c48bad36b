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
 * One stream at a holder: waits for a link, and runs one step after the other on it. A step after a
 * failed one is not run.
 */
final class RelayedWork implements LinkRequest {
  /** Pause before work is restarted, so that work that ends its links ends only a few. */
  private static final long RESTART_PAUSE_MILLIS = 20;

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
  private long lastActivityMillis;
  private final RelayedFloor floor;
  private RelayMessage.Step lastStep;

  /** Whether an answer was sent to the sender, or the member answered a caller's statement. */
  private boolean started;

  /** Time until which the work may wait for a connection or be restarted. */
  private final long untilMillis;

  RelayedWork(RelayServer server, String sender, RelayMessage.Open open, MemberLinks links) {
    this.server = server;
    this.sender = sender;
    this.open = open;
    this.links = links;
    this.values = open.values();
    this.lastActivityMillis = server.now();
    this.untilMillis = lastActivityMillis + open.maxWaitMillis();
    this.floor = new RelayedFloor(open.floor(), links.state(), server.now());
    steps.addAll(open.steps());
  }

  /**
   * Requests a link once the member is expected to have reached the floor of the read, or refuses
   * the work when that is too late.
   */
  void start() {
    if (ended) {
      return;
    }
    long catchUpMillis = floor.catchUpMillis(server.now());
    if (floor.isTooLate(catchUpMillis, server.now())) {
      refuse(
          RelayMessage.Refusal.BEHIND,
          "the member is behind the floor for another " + catchUpMillis + " ms",
          catchUpMillis);
    } else if (catchUpMillis > 0) {
      server.schedule(catchUpMillis, this::start);
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

  /** Returns for how long the stream has waited for the sender's next step, in milliseconds. */
  long idleMillis() {
    return link == null || working ? 0 : server.now() - lastActivityMillis;
  }

  boolean hasLink() {
    return link != null;
  }

  // ---- link request ----

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
    server.removeStream(sender, open.stream());
    server.refuse(sender, open, refusal, cause, retryAfterMillis, links.state().observation());
  }

  // ---- steps ----

  void continueWith(Map<String, String> changed, List<RelayMessage.Step> more) {
    started = true;
    values = changed == null ? values : changed;
    steps.addAll(more);
    lastActivityMillis = server.now();
    if (link == null || working) {
      return;
    }
    if (server.refusesSteps() && !(steps.peek() instanceof RelayMessage.Finish)) {
      refuseSteps();
    } else {
      next();
    }
  }

  /** Rolls back the transaction and answers its next step, because this node is stopping. */
  private void refuseSteps() {
    server.refusedStep(sender, open);
    steps.clear();
    answers.add(
        Answer.refusal(AnswerCode.ABORTED, RelayServer.STOPPING, Answer.RETRY_AFTER_MILLIS));
    sendAnswers();
    end();
  }

  private void sendAnswers() {
    started = true;
    server.send(
        sender,
        new RelayMessage.Answered(
            open.stream(), List.copyOf(answers), links.state().observation()));
    answers.clear();
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
    StepEnd end = new StepEnd(started || !isBeginTransaction(step));
    if (started) {
      link.run(command(step), end);
    } else {
      link.run(command(step), end, untilMillis);
    }
  }

  private static boolean isBeginTransaction(RelayMessage.Step step) {
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

  /** Restarts the work while there is time; the member has run none of the caller's statements. */
  private void restart(String cause) {
    working = false;
    steps.clear();
    steps.addAll(open.steps());
    answers.clear();
    MemberLink released = link;
    link = null;
    links.releaseRolledBack(released);
    if (server.now() + RESTART_PAUSE_MILLIS < untilMillis) {
      server.schedule(RESTART_PAUSE_MILLIS, this::start);
    } else {
      refused(cause, links.estimatedWaitMillis());
    }
  }

  private final class StepEnd implements CommandListener {
    /** Whether the member may have run the work once this step is sent. */
    private final boolean mayRunWork;

    StepEnd(boolean mayRunWork) {
      this.mayRunWork = mayRunWork;
    }

    @Override
    public void answered(Answer answer) {
      working = false;
      lastActivityMillis = server.now();
      links.state().onAnswer(answer.position());
      if (ended) {
        return;
      }
      boolean behind = answer.code() == AnswerCode.BEHIND && answer.state() == SessionState.IDLE;
      if (behind && floor.mayRetry(server.now())) {
        retryStep();
        return;
      }
      started |= mayRunWork;
      answers.add(answer);
      if (!answer.isComplete()) {
        finishing = steps.peekLast() instanceof RelayMessage.Finish;
        steps.clear();
      }
      if (answer.code() == AnswerCode.UNKNOWN_NAME) {
        // The statement that this node prepared is no longer prepared on the connection.
        link.close();
      }
      if (steps.isEmpty() || steps.peek() instanceof RelayMessage.Finish) {
        sendAnswers();
      }
      boolean idle = answer.state() == SessionState.IDLE && steps.isEmpty();
      if (idle || finishing) {
        end();
      } else {
        next();
      }
    }

    /** Retries the step, which didn't run: the member catches up before another could answer. */
    private void retryStep() {
      steps.addFirst(lastStep);
      MemberLink released = link;
      link = null;
      links.releaseRolledBack(released);
      start();
    }

    @Override
    public void notSent(String cause) {
      if (!ended && !started) {
        restart(cause);
      } else {
        lost(cause);
      }
    }

    @Override
    public void lost(String cause) {
      if (!ended && !mayRunWork) {
        restart(cause);
      } else if (!ended) {
        server.endedUnanswered(sender, open, true, "member link lost: " + cause);
        working = false;
        end();
        server.send(sender, new RelayMessage.Ended(open.stream(), "member link lost: " + cause));
      }
    }
  }

  /** Ends the work, because the process is about to exit; work that has not begun is refused. */
  void stop(String cause) {
    if (ended) {
      return;
    }
    boolean notBegun = !started && (link == null || link.cancelWaiting());
    if (!notBegun) {
      server.abandon(this, cause);
      return;
    }
    if (link != null) {
      links.releaseRolledBack(link);
    }
    refuse(RelayMessage.Refusal.NOT_HELD, cause, 0);
  }

  /** Ends the work while answers may be outstanding. */
  void abandon(String cause) {
    boolean unanswered = link == null || working;
    if (!ended && unanswered) {
      server.endedUnanswered(sender, open, link != null, cause);
    }
    end();
  }

  /** Ends the work and releases its link, after a rollback if a transaction is open. */
  void end() {
    if (ended) {
      return;
    }
    ended = true;
    server.removeStream(sender, open.stream());
    if (link == null) {
      return;
    }
    if (working && !link.cancelWaiting()) {
      links.drop(link);
    } else {
      links.releaseRolledBack(link);
    }
  }
}
