package org.streamcourse.connection.backend;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.streamcourse.process.SchedulerWorker;
import org.streamcourse.process.Worker;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.core.Disposable;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Guards against a pool that exceeds its limits, starves a user or queues without bound. */
public class MemberPoolTest {
  private static final String USER = "desk";
  private static final int MONITOR = 1;
  private static final long MAX_QUEUE_MILLIS = 700;
  private static final long END_GRACE_MILLIS = 5_000;

  /** Records the outcome of a request. */
  private static final class Outcome implements MemberPool.Waiter {
    private final List<PoolEntry> entries = new ArrayList<>();
    private int grants;
    private long retryAfterMillis = -1;

    @Override
    public void granted(PoolEntry entry) {
      grants++;
      entries.add(entry);
    }

    @Override
    public void refused(long retryAfter) {
      retryAfterMillis = retryAfter;
    }

    boolean isRefused() {
      return retryAfterMillis >= 0;
    }
  }

  private VirtualTimeScheduler clock;
  private FakeMember member;
  private MemberPool pool;

  @BeforeMethod
  public void createPool() {
    clock = VirtualTimeScheduler.create();
    member = new FakeMember();
    pool =
        new MemberPool(
            SchedulerWorker.onSchedulerClock(clock),
            member::connect,
            new PoolSettings(0, 3, MAX_QUEUE_MILLIS, 100, END_GRACE_MILLIS));
  }

  private Outcome acquire(long budgetMillis) {
    Outcome outcome = new Outcome();
    pool.acquire(USER, budgetMillis, outcome);
    return outcome;
  }

  private Outcome acquireSlot() {
    Outcome outcome = new Outcome();
    pool.acquireSlot(1_000, outcome);
    return outcome;
  }

  /** Holds the only slot after 40 statements that each held it for 400 ms. */
  private void occupySlotAfterStatementsOf400Millis() {
    pool.setLimits(1 + MONITOR, 1, MONITOR, () -> {});
    PoolEntry entry = acquire(1_000).entries.get(0);
    for (int i = 0; i < 40; i++) {
      pool.releaseSlot(400);
      pool.release(entry);
      entry = acquire(1_000).entries.get(0);
    }
  }

  @Test
  public void neverExceedsConnectionsOrSlots() {
    pool.setLimits(3 + MONITOR, 2, MONITOR, () -> {});
    Outcome first = acquire(1_000);
    Outcome second = acquire(1_000);
    Outcome third = acquire(1_000);
    assertEquals(first.grants + second.grants, 2);
    assertEquals(third.grants, 0, "both slots are in use");
    pool.releaseSlot(1);
    assertEquals(third.grants, 1);
    assertTrue(member.sessions().size() <= 3);
  }

  @Test
  public void refusesAtTheDeadlineWithARetryTime() {
    pool.setLimits(1 + MONITOR, 1, MONITOR, () -> {});
    acquire(1_000);
    Outcome late = acquire(50);
    clock.advanceTimeBy(Duration.ofMillis(49));
    assertFalse(late.isRefused());
    clock.advanceTimeBy(Duration.ofMillis(2));
    assertTrue(late.isRefused());
    assertTrue(late.retryAfterMillis > 0);
  }

  /** A worker whose timers fire a millisecond early, as those of a drifting clock may. */
  private static Worker earlyWorker(Worker worker) {
    return new Worker() {
      @Override
      public long now() {
        return worker.now();
      }

      @Override
      public void execute(Runnable task) {
        worker.execute(task);
      }

      @Override
      public Disposable schedule(long delayMillis, Runnable task) {
        return worker.schedule(Math.max(1, delayMillis - 1), task);
      }
    };
  }

  @Test
  public void refusesAtTheDeadlineWhenTimersFireEarly() {
    pool =
        new MemberPool(
            earlyWorker(SchedulerWorker.onSchedulerClock(clock)),
            member::connect,
            new PoolSettings(0, 3, MAX_QUEUE_MILLIS, 100, END_GRACE_MILLIS));
    pool.setLimits(1 + MONITOR, 1, MONITOR, () -> {});
    acquire(1_000);
    Outcome late = acquire(50);
    clock.advanceTimeBy(Duration.ofMillis(60));
    assertTrue(late.isRefused());
  }

  @Test
  public void refusesWaitingRequestsWhenTheAllowanceIsWithdrawn() {
    pool.setLimits(1 + MONITOR, 1, MONITOR, () -> {});
    acquire(1_000);
    Outcome waiting = acquire(1_000);
    pool.setLimits(0, 0, MONITOR, () -> {});
    assertTrue(waiting.isRefused());
  }

  @Test
  public void usersAreServedInTurn() {
    pool.setLimits(1 + MONITOR, 1, MONITOR, () -> {});
    PoolEntry entry = acquire(1_000).entries.get(0);
    Outcome firstOfMany = acquire(1_000);
    Outcome secondOfMany = acquire(1_000);
    Outcome other = new Outcome();
    pool.acquire("coordinator", 1_000, other);
    pool.releaseSlot(1);
    pool.release(entry);
    assertEquals(firstOfMany.grants, 1);
    pool.releaseSlot(1);
    pool.release(entry);
    assertEquals(other.grants, 1, "the other user's turn");
    assertEquals(secondOfMany.grants, 0);
  }

  @Test
  public void fullQueueMakesRoomForAUserWithFewRequests() {
    pool.setLimits(1 + MONITOR, 1, MONITOR, () -> {});
    acquire(1_000);
    Outcome first = acquire(1_000);
    acquire(1_000);
    Outcome newest = acquire(1_000);
    Outcome other = new Outcome();
    pool.acquire("coordinator", 1_000, other);
    assertTrue(newest.isRefused(), "the newest request of the longest share is displaced");
    assertFalse(first.isRefused());
    assertFalse(other.isRefused());
  }

  @Test
  public void refusesAtOnceWhenTheQueueIsFull() {
    pool.setLimits(1 + MONITOR, 1, MONITOR, () -> {});
    acquire(1_000);
    acquire(1_000);
    acquire(1_000);
    acquire(1_000);
    assertTrue(acquire(1_000).isRefused(), "three requests wait already");
  }

  @Test
  public void refusesAtOnceWhenTheDeadlineCannotBeMet() {
    occupySlotAfterStatementsOf400Millis();
    Outcome waits = acquire(1_000);
    Outcome tooLate = acquire(100);
    assertFalse(waits.isRefused());
    assertTrue(tooLate.isRefused(), "one request is ahead, and a statement takes about 400 ms");
  }

  @Test
  public void refusesAtOnceWhenTheExpectedWaitIsTooLong() {
    occupySlotAfterStatementsOf400Millis();
    assertFalse(acquire(60_000).isRefused());
    assertFalse(acquire(60_000).isRefused(), "one request ahead: about 400 ms");
    Outcome third = acquire(60_000);
    assertTrue(third.isRefused(), "two requests ahead: about 800 ms");
    assertTrue(third.retryAfterMillis > 700, "the retry time covers the expected wait");
  }

  @Test
  public void openTransactionsKeepTheirSlotsUntilThePoolHasShrunk() {
    pool.setLimits(2 + MONITOR, 2, MONITOR, () -> {});
    PoolEntry transaction = acquire(1_000).entries.get(0);
    pool.releaseSlot(1);
    boolean[] shrunk = new boolean[1];
    pool.setLimits(0, 0, MONITOR, () -> shrunk[0] = true);
    assertFalse(shrunk[0], "a transaction still holds its connection");
    assertEquals(acquireSlot().grants, 1, "the transaction's next unit must not starve");
    pool.releaseSlot(1);
    assertFalse(shrunk[0]);
    pool.release(transaction);
    assertTrue(shrunk[0]);
    assertEquals(acquireSlot().grants, 0, "nothing may run once the pool has shrunk");
  }

  @Test
  public void discardedConnectionCountsUntilTheMemberHasClosedIt() {
    member.setEndsAtOnce(false);
    pool.setLimits(1 + MONITOR, 1, MONITOR, () -> {});
    pool.discard(acquire(1_000).entries.get(0), true);
    Outcome next = acquire(1_000);
    assertTrue(
        member.sessions().get(0).isCancelled(), "its statement may still run and is cancelled");
    assertEquals(next.grants, 0, "the member may still run the first statement");
    assertEquals(member.sessions().size(), 1, "the member still holds the first connection");
    member.sessions().get(0).finishEnd();
    assertEquals(next.grants, 1);
  }

  @Test
  public void connectionThatIsNeverClosedCountsForTheGracePeriodOnly() {
    member.setEndsAtOnce(false);
    pool.setLimits(1 + MONITOR, 1, MONITOR, () -> {});
    pool.discard(acquire(1_000).entries.get(0), true);
    Outcome next = acquire(2 * END_GRACE_MILLIS);
    clock.advanceTimeBy(Duration.ofMillis(END_GRACE_MILLIS - 1));
    assertEquals(next.grants, 0);
    clock.advanceTimeBy(Duration.ofMillis(1));
    assertEquals(next.grants, 1);
    member.sessions().get(0).finishEnd();
    assertEquals(pool.size(), 1, "a close after the grace period is not counted twice");
  }

  @Test
  public void shrinkingCompletesOnlyOnceTheMemberHasClosedTheConnections() {
    member.setEndsAtOnce(false);
    pool.setLimits(1 + MONITOR, 1, MONITOR, () -> {});
    PoolEntry entry = acquire(1_000).entries.get(0);
    pool.releaseSlot(1);
    pool.release(entry);
    boolean[] shrunk = new boolean[1];
    pool.setLimits(0, 0, MONITOR, () -> shrunk[0] = true);
    assertFalse(shrunk[0], "another node could open one connection too many");
    member.sessions().get(0).finishEnd();
    assertTrue(shrunk[0]);
  }

  @Test
  public void discardedConnectionsAreClosed() {
    pool.setLimits(1 + MONITOR, 1, MONITOR, () -> {});
    PoolEntry entry = acquire(1_000).entries.get(0);
    pool.releaseSlot(1);
    pool.discard(entry, false);
    assertTrue(member.sessions().get(0).isClosed());
    assertEquals(acquire(1_000).grants, 1);
    assertEquals(member.sessions().size(), 2, "a new connection serves the next request");
  }
}
