package org.streamcourse.connection.backend;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.streamcourse.process.SchedulerWorker;
import org.testng.annotations.Test;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Guards against a monitor that uses more connections to its member than it reports. */
public class MemberMonitorTest {
  private static final long GRACE_MILLIS = 1_000;

  private static MemberMonitor monitor(VirtualTimeScheduler clock, FakeMember member) {
    return new MemberMonitor(
        SchedulerWorker.onSchedulerClock(clock), member::connect, GRACE_MILLIS, "g/m1");
  }

  @Test
  public void stoppedMonitorCountsUntilTheMemberHasClosedItsConnection() {
    VirtualTimeScheduler clock = VirtualTimeScheduler.create();
    FakeMember member = new FakeMember();
    member.setEndsAtOnce(false);
    MemberMonitor monitor = monitor(clock, member);
    monitor.start();
    clock.advanceTimeBy(Duration.ofMillis(10));
    boolean[] ended = new boolean[1];
    monitor.stop(() -> ended[0] = true);
    clock.advanceTimeBy(Duration.ofMillis(10));
    assertFalse(ended[0], "the member still has the connection");
    assertEquals(monitor.connections(), 2, "one reserved for the monitor, one being closed");
    member.sessions().get(0).finishEnd();
    clock.advanceTimeBy(Duration.ofMillis(10));
    assertTrue(ended[0]);
    assertEquals(monitor.connections(), 1);
  }

  @Test
  public void lateRetryOpensNoSecondConnection() {
    VirtualTimeScheduler clock = VirtualTimeScheduler.create();
    FakeMember member = new FakeMember();
    member.setOpensAtOnce(false);
    MemberMonitor monitor = monitor(clock, member);
    monitor.start();
    clock.advanceTimeBy(Duration.ofMillis(240));
    // The retry after this failure is due at 290 ms; the periodic tick at 250 ms runs before it.
    member.failConnect();
    clock.advanceTimeBy(Duration.ofMillis(15));
    assertEquals(member.connecting(), 1, "the tick connects");
    member.finishConnect();
    clock.advanceTimeBy(Duration.ofMillis(100));
    assertEquals(member.connecting(), 0, "the late retry must not open a second connection");
    assertEquals(member.sessions().size(), 1);
  }
}
