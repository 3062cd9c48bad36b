package org.streamcourse.lab.process;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.streamcourse.lab.fleet.FleetProcess;
import org.streamcourse.lab.fleet.Ports;
import org.streamcourse.process.StreamcourseCommand;
import org.testng.annotations.Test;

/** A process' log contains the lines that are written during a planned stop. */
public class PlannedStopLogTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(120);
  private static final int HEAP_MB = 128;

  @Test
  public void linesOfAPlannedStopAreWritten() throws Exception {
    Path folder = Files.createTempDirectory("streamcourse-stop");
    Path log = folder.resolve("p1.log");
    Ports ports = new Ports();
    FleetProcess proxy =
        new FleetProcess(
            "p1",
            HEAP_MB,
            StreamcourseCommand.class,
            List.of("proxy", "--config=" + settings(folder, ports)),
            folder);
    proxy.setLogLevel("INFO");
    proxy.start();
    try {
      await().atMost(TIMEOUT).until(() -> Files.readString(log).contains("accepts callers"));
      proxy.terminate();
      assertTrue(proxy.await(TIMEOUT.toSeconds()), "the proxy stops");
      String lines = Files.readString(log);
      assertTrue(lines.contains("proxy p1 is stopping"), lines);
      assertTrue(lines.contains("proxy p1 has stopped"), lines);
    } finally {
      proxy.killPermanently();
      ports.close();
    }
  }

  /** Writes settings of a proxy whose only controller does not run. */
  private static Path settings(Path folder, Ports ports) throws Exception {
    String yaml =
        """
        name: p1
        region: r
        zone: r-1
        dataFolder: "%s"
        callers: "%s"
        links: "%s"
        metrics: "%s"
        fleetKey: key
        memberUser: app
        memberPassword: app-password
        controllers:
          - {name: c1, address: "%s"}
        users:
          - {name: app, password: app-password}
        """
            .formatted(
                folder.resolve("data"), ports.next(), ports.next(), ports.next(), ports.next());
    return Files.writeString(folder.resolve("p1.yaml"), yaml);
  }
}
