package org.streamcourse.connection.member;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.streamcourse.process.SchedulerWorker;
import org.streamcourse.process.Worker;
import org.streamcourse.request.statement.Answer;
import org.streamcourse.request.statement.AnswerCode;
import org.streamcourse.request.statement.PreparedShape;
import org.streamcourse.request.statement.SessionState;
import org.streamcourse.request.statement.StatementId;
import org.streamcourse.version.image.LinkShare;
import org.streamcourse.version.image.MemberId;
import org.streamcourse.version.image.RegisteredMember;
import org.streamcourse.version.image.TenantId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reactor.test.scheduler.VirtualTimeScheduler;

/**
 * Guards against an answer that is given to another command: the member loses one answer on a
 * connection that lives on, and the next answer arrives in its place.
 */
public class AnswerPairingTest {
  private static final RegisteredMember MEMBER =
      new RegisteredMember(new MemberId("i-1"), "10.0.0.1", 1, "z", 3, false);
  private static final int LINKS = 2;

  /** Longest time until a link with a lost answer is given up, and a new one is open. */
  private static final long GIVEN_UP_MILLIS = 1_500;

  private final List<String> outcomes = new ArrayList<>();
  private VirtualTimeScheduler clock;
  private MemberLinks links;

  /** Number of the command whose answer is lost, counted from 1 over all connections. */
  private int lost;

  private int commands;

  /** A connection that answers each command at once, unless the answer is lost. */
  private final class Connection implements MemberChannel {
    private final Listener listener;
    private SessionState state = SessionState.IDLE;

    Connection(Listener listener) {
      this.listener = listener;
    }

    @Override
    public void send(MemberCommand command) {
      if (command instanceof MemberCommand.BeginTransaction) {
        state = SessionState.TRANSACTION;
      } else if (command instanceof MemberCommand.RollBack) {
        state = SessionState.IDLE;
      }
      SessionState after = state;
      commands += command instanceof MemberCommand.Introduce ? 0 : 1;
      if (commands == lost && !(command instanceof MemberCommand.Introduce)) {
        return;
      }
      clock.schedule(() -> listener.answered(answer(command, after)));
    }

    private Answer answer(MemberCommand command, SessionState after) {
      if (command instanceof MemberCommand.Run run) {
        return new Answer(List.of("row"), AnswerCode.COMPLETE, "signed/" + run.id(), after, null);
      }
      if (command instanceof MemberCommand.RunPrepared run) {
        return new Answer(List.of("row"), AnswerCode.COMPLETE, "signed/" + run.id(), after, null);
      }
      return Answer.local(after);
    }

    @Override
    public void flush() {
      // send() delivers at once.
    }

    @Override
    public void close() {
      // The member does not notice the close.
    }
  }

  /** One read of a session; its kind tells how it runs. */
  private final class Read implements LinkRequest, CommandListener {
    private final String id;
    private final String kind;
    private MemberLink link;

    Read(String id, String kind) {
      this.id = id;
      this.kind = kind;
    }

    @Override
    public int priority() {
      return 1;
    }

    @Override
    public boolean needsPrimary() {
      return false;
    }

    @Override
    public TenantId tenant() {
      return TenantId.NONE;
    }

    @Override
    public long maxWaitMillis() {
      return 1_000;
    }

    @Override
    public Map<String, String> sessionValues() {
      return Map.of();
    }

    @Override
    public void granted(MemberLink granted) {
      link = granted;
      StatementId statement = new StatementId(id);
      switch (kind) {
        case "guarded" -> link.runGuarded(run(statement), this, clock() + 1_000);
        case "values" -> {
          link.applyValues(Map.of("a", id, "b", id));
          link.run(run(statement), this);
        }
        case "prepared" -> {
          String name = link.prepare(new PreparedShape(false, "shape" + id));
          link.run(new MemberCommand.RunPrepared(statement, name, "x", null), this);
        }
        default -> link.run(run(statement), this);
      }
    }

    private MemberCommand run(StatementId statement) {
      return new MemberCommand.Run(statement, "READ x", null);
    }

    @Override
    public void refused(String cause, long retryAfterMillis) {
      outcomes.add(id + " refused");
    }

    @Override
    public void answered(Answer answer) {
      outcomes.add(id + ' ' + answer.text() + ' ' + answer.rows());
      links.releaseRolledBack(link);
    }

    @Override
    public void lost(String cause) {
      outcomes.add(id + " lost");
      links.release(link);
    }

    @Override
    public void notSent(String cause) {
      outcomes.add(id + " not sent");
      links.release(link);
    }
  }

  private long clock() {
    return clock.now(java.util.concurrent.TimeUnit.MILLISECONDS);
  }

  @BeforeMethod
  public void start() {
    outcomes.clear();
    commands = 0;
    lost = 0;
    clock = VirtualTimeScheduler.create();
    Worker worker = SchedulerWorker.onSchedulerClock(clock);
    MemberDialer dialer =
        (host, port, listener) ->
            worker.execute(() -> listener.connected(new Connection(listener)));
    links = new MemberLinks(worker, dialer, MemberRelay.NONE, "s", MEMBER, () -> {});
    links.update(MEMBER, new LinkShare(LinkShare.Role.OWNER, LINKS, 3, List.of(), List.of(), 0));
    pass(10);
  }

  private void pass(long millis) {
    for (long passed = 0; passed < millis; passed += 10) {
      clock.advanceTimeBy(Duration.ofMillis(10));
      links.check();
    }
  }

  @DataProvider
  public Object[][] lostAnswers() {
    List<Object[]> cases = new ArrayList<>();
    for (String kind : List.of("single", "guarded", "values", "prepared")) {
      for (int answer = 1; answer <= 6; answer++) {
        cases.add(new Object[] {kind, answer});
      }
    }
    return cases.toArray(new Object[0][]);
  }

  @Test(dataProvider = "lostAnswers")
  public void noSuccessHasTheSignatureOfAnotherStatement(String kind, int lostAnswer) {
    lost = lostAnswer;
    for (int i = 0; i < 3; i++) {
      links.acquire(new Read("q" + i, kind));
      pass(GIVEN_UP_MILLIS);
    }
    links.acquire(new Read("last", kind));
    pass(GIVEN_UP_MILLIS);
    for (String outcome : outcomes) {
      String id = outcome.substring(0, outcome.indexOf(' '));
      boolean success = outcome.equals(id + " signed/" + id + " [row]");
      boolean failure = List.of(id + " lost", id + " not sent").contains(outcome);
      assertEquals(success || failure, true, outcomes.toString());
    }
    if (!kind.equals("single") || lostAnswer > 4) {
      assertEquals(outcomes.get(outcomes.size() - 1), "last signed/last [row]", "serves again");
    }
  }

  /** Guards against a link that serves the next session while an answer is outstanding. */
  @Test
  public void aLinkWithAnOutstandingAnswerIsNotReused() {
    lost = 1;
    Read read = new Read("q0", "single");
    links.acquire(read);
    pass(100);
    links.release(read.link);
    links.acquire(new Read("q1", "single"));
    pass(100);
    assertEquals(outcomes, List.of("q0 lost", "q1 signed/q1 [row]"));
  }
}
