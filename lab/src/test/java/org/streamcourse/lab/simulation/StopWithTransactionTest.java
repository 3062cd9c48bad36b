package org.streamcourse.lab.simulation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.streamcourse.connection.frontend.CallerChannel;
import org.streamcourse.connection.frontend.ConnectionSession;
import org.streamcourse.connection.wire.Backend;
import org.streamcourse.connection.wire.Frontend;
import org.streamcourse.connection.wire.WireMessage;
import org.streamcourse.process.PlannedStop;
import org.streamcourse.process.Worker;
import org.testng.annotations.Test;

/** Tests transactions that stay open beyond the time limit of a proxy's planned stop. */
public class StopWithTransactionTest {
  private static final long SEED = 1;
  private static final PlannedStop.Limits LIMITS = new PlannedStop.Limits(2_000, 3_000, 500);
  private static final long START_MILLIS = 1_000;
  private static final long AFTER_LIMIT_MILLIS = START_MILLIS + LIMITS.drainMillis() + 200;
  private static final String STOPPING = "57P01";
  private static final String BEGIN = "BEGIN /* t */";
  private static final String READ = "SELECT id, 't' AS tag FROM bookings WHERE slot = 's'";

  /** A caller's connection that records what arrives. */
  private static final class Caller implements CallerChannel {
    private final List<WireMessage> messages = new ArrayList<>();
    private ConnectionSession session;
    private boolean closed;

    private void query(String sql) {
      session.receive(new WireMessage(Frontend.query(sql)));
    }

    private List<String> errors() {
      return messages.stream()
          .filter(each -> each.type() == Backend.ERROR)
          .map(Backend::sqlState)
          .toList();
    }

    private String lastErrorText() {
      return messages.stream()
          .filter(each -> each.type() == Backend.ERROR)
          .map(Backend::errorText)
          .reduce((first, second) -> second)
          .orElse("");
    }

    private long answers() {
      return messages.stream().filter(each -> each.type() == Backend.READY).count();
    }

    @Override
    public void send(byte[] bytes) {
      assertFalse(closed, "a message after the end of the connection");
      ByteBuffer buffer = ByteBuffer.wrap(bytes);
      for (int at = 0; at < bytes.length; ) {
        int size = 1 + buffer.getInt(at + 1);
        ByteArrayOutputStream one = new ByteArrayOutputStream();
        one.write(bytes, at, size);
        messages.add(new WireMessage(one.toByteArray()));
        at += size;
      }
    }

    @Override
    public void send(byte[] bytes, Runnable written) {
      send(bytes);
      written.run();
    }

    @Override
    public void pauseReading() {
      // Little is sent.
    }

    @Override
    public void resumeReading() {
      // Reading is never paused.
    }

    @Override
    public void close() {
      closed = true;
    }
  }

  /** A proxy's stop, with the sessions of the callers of this test only. */
  private static final class Stop implements PlannedStop.Sessions {
    private final List<Caller> callers;
    private boolean done;

    Stop(List<Caller> callers) {
      this.callers = callers;
    }

    void begin(SimProxy proxy) {
      callers.forEach(each -> each.session.drain());
      Worker worker = proxy.host().worker();
      advance(new PlannedStop(proxy.node(), this, LIMITS, worker.now()), worker);
    }

    private void advance(PlannedStop stop, Worker worker) {
      done = stop.advance(worker.now());
      if (!done) {
        worker.schedule(PlannedStop.POLL_MILLIS, () -> advance(stop, worker));
      }
    }

    @Override
    public boolean haveEnded() {
      return callers.stream().allMatch(each -> each.closed);
    }

    @Override
    public void end() {
      callers.forEach(each -> each.session.end());
    }

    @Override
    public void terminate() {
      callers.forEach(each -> each.session.terminate());
    }
  }

  private static Caller open(SimProxy proxy, String... statements) {
    Caller caller = new Caller();
    caller.session = proxy.openSession(caller, World.GROUP);
    caller.session.open();
    for (String statement : statements) {
      caller.query(statement);
    }
    return caller;
  }

  /**
   * Guards against a transaction that is cut without a word: a session with an open transaction was
   * served on beyond the time limit of the stop, until the process closed its connection.
   */
  @Test
  public void anOpenTransactionIsEndedWithAnErrorAtTheTimeLimit() {
    List<Caller> callers = new ArrayList<>();
    List<Stop> stops = new ArrayList<>();
    AtomicBoolean endedAtLimit = new AtomicBoolean();
    World world = new World(SEED, new SimHooks());
    world.run(
        false,
        running -> {
          SimProxy proxy = running.proxies().get("p1");
          callers.add(open(proxy, BEGIN, READ));
          stops.add(new Stop(callers));
          running.after(START_MILLIS, () -> stops.get(0).begin(proxy));
          running.after(AFTER_LIMIT_MILLIS, () -> endedAtLimit.set(callers.get(0).closed));
        });
    assertTrue(stops.get(0).done, "the stop is over");
    assertTrue(endedAtLimit.get(), "the session ends at the time limit");
    Caller caller = callers.get(0);
    assertEquals(caller.answers(), 2, "both statements were answered");
    assertTrue(caller.closed);
    assertEquals(caller.errors(), List.of(STOPPING));
    assertTrue(caller.lastErrorText().contains("rolled back"), caller.lastErrorText());
    assertEquals(world.history().violations(), List.of());
  }
}
