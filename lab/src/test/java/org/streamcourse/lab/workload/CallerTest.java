package org.streamcourse.lab.workload;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.List;
import org.streamcourse.lab.workload.Caller.Behavior;
import org.testng.annotations.Test;

/** When callers close a connection that refuses requests. */
public class CallerTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(60);
  private static final int REFUSALS = 3;
  private static final int CONNECTIONS = 3;

  @Test
  public void aPersistentCallerKeepsAConnectionUntilItIsClosed() throws Exception {
    assertEquals(refusalsOnTheFirstConnections(true), List.of(REFUSALS, REFUSALS));
  }

  @Test
  public void aRoamingCallerReconnectsAfterTheFirstRefusal() throws Exception {
    assertEquals(refusalsOnTheFirstConnections(false), List.of(1, 1));
  }

  private static List<Integer> refusalsOnTheFirstConnections(boolean keepsConnection)
      throws Exception {
    try (RefusingServer server = new RefusingServer(REFUSALS)) {
      Behavior behavior = new Behavior(1, 0, 0, 1_500, keepsConnection);
      Caller caller =
          new Caller(
              0, "group1", List.of(server.address()), behavior, new Journal(), new Ticker(), 1);
      Thread thread = new Thread(caller, "caller");
      thread.setDaemon(true);
      thread.start();
      await().atMost(TIMEOUT).until(() -> server.refusals().size() >= CONNECTIONS);
      caller.stop();
      return server.refusals().subList(0, CONNECTIONS - 1);
    }
  }
}
