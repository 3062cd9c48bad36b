package org.streamcourse.lab.simulation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.streamcourse.process.ControllerNode;
import org.streamcourse.version.agreement.AgreementSettings;
import org.streamcourse.version.control.AdminResult;
import org.streamcourse.version.control.ControlSettings;
import org.streamcourse.version.image.Placement;
import org.testng.annotations.Test;
import reactor.test.scheduler.VirtualTimeScheduler;

/** A controller that crashes in each of its writes must recover the latest accepted state. */
public class RestartTest {
  private static final int CHANGES = 1_000;
  private static final long FIRST_VALUE = 1_000;
  private static final int MAX_ATTEMPTS_PER_CHANGE = 8;

  private final VirtualTimeScheduler clock = VirtualTimeScheduler.create();
  private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(3);
  private final SimDisk disk = new SimDisk();
  private final SimHost host =
      new SimHost(
          "c1",
          new Placement("r", "z"),
          clock,
          1,
          failure -> {
            throw failure;
          });
  private ControllerNode node;
  private int crashes;

  private void boot(boolean bootstrap) {
    host.boot(() -> crashes++);
    node =
        new ControllerNode(
            "c1",
            List.of("c1"),
            bootstrap,
            host.worker(),
            (peer, message) -> {},
            disk,
            World.CODEC,
            AgreementSettings.DEFAULT,
            ControlSettings.DEFAULT,
            new RandomAdapter(random),
            (long) host.incarnation() << Integer.SIZE);
    node.start();
    clock.advanceTimeBy(Duration.ofSeconds(4));
  }

  /** Executes a statement; returns null when the controller crashes before the answer. */
  private AdminResult execute(String sql) {
    AdminResult[] answer = new AdminResult[1];
    host.execute(
        host.incarnation(), () -> node.router().execute(sql, result -> answer[0] = result));
    clock.advanceTimeBy(Duration.ofMillis(500));
    return answer[0];
  }

  private long executeUntilAccepted(String sql) {
    for (int attempt = 0; attempt < MAX_ATTEMPTS_PER_CHANGE; attempt++) {
      AdminResult answer = execute(sql);
      if (answer != null && answer.sqlState().isEmpty()) {
        return Long.parseLong(answer.rows().get(0).get(0));
      }
      disk.crashAfter(Integer.MIN_VALUE, length -> 0);
      if (!host.isUp()) {
        boot(false);
      }
    }
    throw new IllegalStateException("not accepted: " + sql);
  }

  @Test
  public void crashInEveryChangeNeitherLosesNorRepeatsAcceptedCommands() {
    boot(true);
    long version =
        executeUntilAccepted(
            "CREATE GROUP g MEMBERS (m1 AT '127.0.0.1:1' REGION r ZONE z CONNECTIONS 4 SLOTS 2)"
                + " COMMAND 'create'");
    for (int i = 0; i < CHANGES; i++) {
      // The first or the second write of the change crashes, with part of an append on disk.
      disk.crashAfter(i % 2, length -> random.nextInt(length));
      String sql =
          "ALTER GROUP g SET max_staleness_ms = " + (FIRST_VALUE + i) + " COMMAND 'c" + i + "'";
      long next = executeUntilAccepted(sql);
      assertEquals(next, version + 1, "each command creates one version, even if it is resent");
      version = next;
      if (i % 50 == 0) {
        host.kill();
        boot(false);
        assertEquals(staleness(), FIRST_VALUE + i);
      }
    }
    assertTrue(crashes >= CHANGES / 2, "crashed only " + crashes + " times");
    disk.crashAfter(Integer.MIN_VALUE, length -> 0);
    host.kill();
    boot(false);
    assertEquals(staleness(), FIRST_VALUE + CHANGES - 1);
    assertEquals(node.controller().image().configurationVersion(), version);
  }

  private long staleness() {
    return node.controller().image().groups().get("g").rules().maxStalenessMillis();
  }
}
