package org.streamcourse.lab.simulation;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.testng.annotations.Test;

/**
 * Proxies that restart while a partition separates them from all controllers must take the image
 * from proxies on their side of the partition.
 *
 * <p>Guards against proxies that refuse all sessions, and the statements relayed to them as
 * holders, until a partition ends. In a fleet of 78 hosts, a partition of 7 s separated 52 of 72
 * proxies from the rest of the fleet, while both sides reached callers and members. 37 of the 52
 * lost power and were back after 2 s, but had no image in force for 3.1 to 4.5 s more, because only
 * controllers sent an image to a starting proxy; they refused 5,409 relayed statements.
 */
public class RestartDuringPartitionTest {
  private static final long SEEDS = 8;
  private static final int SEPARATED = 8;
  private static final int RESTARTED = 5;
  private static final long KILL_AT_MILLIS = 3_000;
  private static final long OUTAGE_MILLIS = 800;

  /** Time from a proxy's start until it must serve. */
  private static final long STARTUP_MILLIS = 700;

  private static void partitionAndRestart(ServiceWorld world, List<String> notReady) {
    List<String> names = new ArrayList<>(world.proxies().keySet());
    List<String> near = names.subList(0, SEPARATED);
    List<String> far = new ArrayList<>(names.subList(SEPARATED, names.size()));
    far.addAll(World.CONTROLLERS);
    near.forEach(name -> world.cut(name, far));
    for (String name : near.subList(0, RESTARTED)) {
      SimServiceProxy proxy = world.proxies().get(name);
      world.after(KILL_AT_MILLIS, proxy.host()::kill);
      world.after(KILL_AT_MILLIS + OUTAGE_MILLIS, proxy::boot);
      world.after(
          KILL_AT_MILLIS + OUTAGE_MILLIS + STARTUP_MILLIS,
          () -> {
            if (!proxy.isReady()) {
              notReady.add(name);
            }
          });
    }
  }

  private static String run(long seed) {
    List<String> notReady = new ArrayList<>();
    ServiceWorld world = new ServiceWorld(seed, ServiceSize.FEW_CONNECTIONS);
    world.run(any -> partitionAndRestart(any, notReady));
    assertEquals(world.checks().violations(), List.of(), "seed " + seed);
    return notReady.isEmpty() ? "" : "seed " + seed + ": " + notReady + " not ready";
  }

  @Test
  public void restartedProxiesServeBeforeThePartitionEnds() {
    List<String> failed =
        LongStream.rangeClosed(1, SEEDS)
            .parallel()
            .mapToObj(RestartDuringPartitionTest::run)
            .filter(text -> !text.isEmpty())
            .toList();
    assertEquals(String.join("; ", failed), "");
  }
}
