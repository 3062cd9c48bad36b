package org.streamcourse.lab.simulation;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.testng.annotations.Test;

/**
 * After a partition, no member becomes primary with writes that an earlier promotion has dropped.
 *
 * <p>Guards against a second promotion based on outdated reports. In a fleet of 12 hosts, a
 * partition of 7 s separated eight of nine proxies and the primary from the controllers, the other
 * proxy and two replicas, one of which was promoted. When the partition ended, the eight proxies
 * were admitted again and still reported the new primary as unreachable, as it had been from their
 * side; 0.1 s later the former primary, whose known position was the latest, was promoted again
 * with the writes that the first promotion had dropped. Reads between the two promotions had
 * returned a log without these writes.
 */
public class PrimaryChangeAfterPartitionTest {
  private static final long SEEDS = 16;
  private static final int PROXIES_WITH_CONTROLLERS = 1;
  private static final long PARTITION_MILLIS = 7_000;

  /** Delay after the partition until the separated proxies reach the replicas again. */
  private static final long PROXY_RECONNECT_MILLIS = 400;

  /** Delay after the partition until the former primary reaches the replicas again. */
  private static final long PRIMARY_RECONNECT_MILLIS = 2_000;

  /** Apply lag of replicas, so that none reports a position of the new primary's term. */
  private static final long LAG_MILLIS = 6_000;

  private static void partition(ServiceWorld world) {
    List<String> proxies = new ArrayList<>(world.proxies().keySet());
    List<String> far = new ArrayList<>(proxies.subList(PROXIES_WITH_CONTROLLERS, proxies.size()));
    List<String> near = new ArrayList<>(proxies.subList(0, PROXIES_WITH_CONTROLLERS));
    near.addAll(World.CONTROLLERS);
    List<String> primaries = new ArrayList<>();
    List<String> replicas = new ArrayList<>();
    for (SimServiceMember member : world.members().values()) {
      (member.isPrimary() ? primaries : replicas).add(member.host().name());
    }
    far.addAll(primaries);
    near.addAll(replicas);
    replicas.forEach(name -> world.members().get(name).setLagMillis(LAG_MILLIS));
    far.forEach(name -> world.cut(name, near));
    world.after(PARTITION_MILLIS, () -> cutAgain(world, far, replicas));
    world.after(
        PARTITION_MILLIS + PROXY_RECONNECT_MILLIS, () -> cutAgain(world, primaries, replicas));
    world.after(PARTITION_MILLIS + PRIMARY_RECONNECT_MILLIS, world.network()::healAll);
  }

  private static void cutAgain(ServiceWorld world, List<String> far, List<String> near) {
    world.network().healAll();
    far.forEach(name -> world.cut(name, near));
  }

  private static List<String> run(long seed) {
    ServiceWorld world = new ServiceWorld(seed, ServiceSize.FEW_CONNECTIONS);
    world.run(PrimaryChangeAfterPartitionTest::partition);
    List<String> found = new ArrayList<>(world.checks().violations());
    long changes = world.checks().countEvents("promoted");
    if (changes > 1) {
      found.add(changes + " changes of primary");
    }
    return found.stream().map(text -> "seed " + seed + ": " + text).toList();
  }

  @Test
  public void newPrimaryStaysAndDroppedWritesDoNotReturn() {
    List<String> violations =
        LongStream.rangeClosed(1, SEEDS)
            .parallel()
            .mapToObj(PrimaryChangeAfterPartitionTest::run)
            .flatMap(List::stream)
            .toList();
    assertEquals(String.join("; ", violations), "");
  }
}
