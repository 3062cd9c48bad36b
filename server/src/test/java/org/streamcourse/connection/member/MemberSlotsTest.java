package org.streamcourse.connection.member;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import org.streamcourse.process.SchedulerWorker;
import org.streamcourse.process.Worker;
import org.streamcourse.request.statement.Answer;
import org.streamcourse.request.statement.AnswerCode;
import org.streamcourse.request.statement.SessionState;
import org.streamcourse.request.statement.StatementId;
import org.streamcourse.version.image.LinkShare;
import org.streamcourse.version.image.MemberId;
import org.streamcourse.version.image.RegisteredMember;
import org.streamcourse.version.image.TenantId;
import org.streamcourse.version.image.TermPosition;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.test.scheduler.VirtualTimeScheduler;

/**
 * Assignment of a member's two slots by their owner. The simulated member answers statements only
 * when the test calls {@link #answerOldest}.
 */
public class MemberSlotsTest {
  private static final int SLOTS = 2;
  private static final int LINKS = 8;
  private static final long LONGEST_WAIT_MILLIS = 500;
  private static final RegisteredMember MEMBER =
      new RegisteredMember(new MemberId("i-1"), "10.0.0.1", 1, "z", SLOTS, false);

  private VirtualTimeScheduler clock;
  private MemberLinks links;

  /** Connections whose statements run at the member, oldest first. */
  private final Deque<Connection> running = new ArrayDeque<>();

  /** Statements in the order in which they reached the member. */
  private final List<String> order = new ArrayList<>();

  private final List<String> refused = new ArrayList<>();
  private final List<String> lost = new ArrayList<>();
  private final List<String> notSent = new ArrayList<>();

  /** A connection to the member; commands other than statements are answered at once. */
  private final class Connection implements MemberChannel {
    private final Listener listener;
    private SessionState state = SessionState.IDLE;

    Connection(Listener listener) {
      this.listener = listener;
    }

    @Override
    public void send(MemberCommand command) {
      if (command instanceof MemberCommand.Run run) {
        order.add(run.id().value());
        running.add(this);
        return;
      }
      state =
          command instanceof MemberCommand.BeginTransaction
              ? SessionState.TRANSACTION
              : SessionState.IDLE;
      answer(Answer.NO_SIGNATURE);
    }

    private void answer(String signature) {
      listener.answered(
          new Answer(List.of(), AnswerCode.COMPLETE, signature, state, new TermPosition(1, 1)));
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

  /** One statement, or the first statement of a transaction that stays open. */
  private final class Unit implements LinkRequest, CommandListener {
    private final String id;
    private final String tenant;
    private final boolean transaction;
    private MemberLink link;

    Unit(String id, String tenant, boolean transaction) {
      this.id = id;
      this.tenant = tenant;
      this.transaction = transaction;
    }

    void run(String statement) {
      link.run(new MemberCommand.Run(new StatementId(statement), "x", null), this);
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
      return new TenantId(tenant);
    }

    @Override
    public long maxWaitMillis() {
      return LONGEST_WAIT_MILLIS;
    }

    @Override
    public Map<String, String> sessionValues() {
      return Map.of();
    }

    @Override
    public void granted(MemberLink granted) {
      link = granted;
      if (transaction) {
        link.run(new MemberCommand.BeginTransaction(false, null), CommandListener.NONE);
      } else {
        run(id);
      }
    }

    @Override
    public void refused(String cause, long retryAfterMillis) {
      refused.add(id);
    }

    @Override
    public void answered(Answer answer) {
      if (!transaction) {
        links.release(link);
      }
    }

    @Override
    public void lost(String cause) {
      lost.add(id);
      links.release(link);
    }

    @Override
    public void notSent(String cause) {
      notSent.add(id);
      links.release(link);
    }
  }

  @BeforeMethod
  public void start() {
    running.clear();
    order.clear();
    refused.clear();
    lost.clear();
    notSent.clear();
    clock = VirtualTimeScheduler.create();
    Worker worker = SchedulerWorker.onSchedulerClock(clock);
    MemberDialer dialer =
        (host, port, listener) ->
            worker.execute(() -> listener.connected(new Connection(listener)));
    links = new MemberLinks(worker, dialer, MemberRelay.NONE, "s", MEMBER, () -> {});
    links.update(
        MEMBER, new LinkShare(LinkShare.Role.OWNER, LINKS, SLOTS, List.of(), List.of(), 0));
    pass(1);
  }

  private void pass(long millis) {
    clock.advanceTimeBy(Duration.ofMillis(millis));
  }

  private Unit start(String id, String tenant) {
    return start(new Unit(id, tenant, false));
  }

  private Unit start(Unit unit) {
    links.acquire(unit);
    pass(1);
    return unit;
  }

  private void answerOldest() {
    running.poll().answer("signed");
    pass(1);
  }

  @Test
  public void noMoreStatementsRunThanThereAreSlots() {
    for (int i = 0; i < 5; i++) {
      start("s" + i, "t" + i);
    }
    assertEquals(order, List.of("s0", "s1"));
    while (!running.isEmpty()) {
      assertTrue(running.size() <= SLOTS);
      answerOldest();
    }
    assertEquals(order.size(), 5);
    assertEquals(links.slotsTaken(), 0);
  }

  @Test
  public void aStatementOfAnOpenTransactionGoesBeforeOthersThatWait() {
    Unit transaction = start(new Unit("begin", "a", true));
    start("s0", "b");
    start("s1", "c");
    start("later", "d");
    transaction.run("inside");
    assertEquals(order, List.of("s0", "s1"));
    answerOldest();
    assertEquals(order, List.of("s0", "s1", "inside"));
  }

  @Test
  public void tenantsAreServedInTurn() {
    start("first", "small");
    answerOldest();
    start("s0", "busy");
    start("s1", "busy");
    start("busy1", "busy");
    start("busy2", "busy");
    start("small", "small");
    answerOldest();
    answerOldest();
    assertEquals(order, List.of("first", "s0", "s1", "busy1", "small"));
  }

  @Test
  public void theSlotOfALostCommandStaysTakenForTheAverageTimeOfACommand() {
    Unit lost = start("s0", "a");
    start("s1", "b");
    start("s2", "c");
    lost.link.close();
    assertEquals(order, List.of("s0", "s1"), "the member may still run it");
    pass(50);
    assertEquals(order, List.of("s0", "s1", "s2"));
  }

  @Test
  public void aCommandThatWaitsForASlotCanBeCancelled() {
    Unit transaction = start(new Unit("begin", "a", true));
    start("s0", "b");
    start("s1", "c");
    transaction.run("inside");
    assertTrue(transaction.link.cancelWaiting());
    answerOldest();
    answerOldest();
    assertEquals(order, List.of("s0", "s1"));
    assertEquals(links.slotsTaken(), 0);
  }

  /** Guards against reporting a write as in doubt that was never handed to a connection. */
  @Test
  public void aCommandThatWaitsForASlotWhenItsLinkEndsIsReportedAsNotSent() {
    Unit transaction = start(new Unit("begin", "a", true));
    Unit sent = start("s0", "b");
    start("s1", "c");
    transaction.run("inside");
    transaction.link.close();
    sent.link.close();
    assertEquals(notSent, List.of("begin"));
    assertEquals(lost, List.of("s0"));
    assertEquals(order, List.of("s0", "s1"));
  }

  @Test
  public void requestsThatCanNotBeServedInTimeAreRefusedAtOnce() {
    for (int i = 0; i < 110; i++) {
      links.acquire(new Unit("u" + i, "t", false));
    }
    assertTrue(
        !refused.isEmpty(),
        "110 statements of 10 ms in two slots exceed a wait of " + LONGEST_WAIT_MILLIS + " ms");
    assertTrue(links.estimatedWaitMillis() >= LONGEST_WAIT_MILLIS);
  }
}
