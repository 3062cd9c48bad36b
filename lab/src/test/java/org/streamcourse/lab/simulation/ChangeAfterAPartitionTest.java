package org.streamcourse.lab.simulation;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.testng.annotations.Test;

/**
 * After a partition, no member leads with writes that an earlier change of primary has dropped.
 *
 * <p>Seen on a fleet of 12 machines: for 7 s a network partition stood between eight of nine
 * proxies with the primary, and the controllers with the other proxy and two replicas. A replica
 * was promoted. When the partition ended, the eight proxies were admitted again and still called
 * the new primary unreachable, as it had been from their side; 0.1 s later the former primary, of
 * which the latest place was known, was promoted, and its dropped writes were back. Whoever had
 * read at the primary between the two changes had read a log without them.
 */
public class ChangeAfterAPartitionTest {
  private static final long SEEDS = 16;
  private static final int WITH_CONTROLLERS = 1;
  private static final long PARTITION_MILLIS = 7_000;

  /** Time by which the ways to members come back later than those to controllers. */
  private static final long RETRIED_MILLIS = 400;

  /** The same for the way of the former primary to the other members. */
  private static final long REPLICATION_MILLIS = 2_000;

  /** Delay with which replicas apply, so that none shows a place of the new primary's term. */
  private static final long LAG_MILLIS = 6_000;

  private static void part(ServiceWorld world) {
    List<String> proxies = new ArrayList<>(world.proxies().keySet());
    List<String> far = new ArrayList<>(proxies.subList(WITH_CONTROLLERS, proxies.size()));
    List<String> near = new ArrayList<>(proxies.subList(0, WITH_CONTROLLERS));
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
    world.after(PARTITION_MILLIS + RETRIED_MILLIS, () -> cutAgain(world, primaries, replicas));
    world.after(PARTITION_MILLIS + REPLICATION_MILLIS, world.network()::healAll);
  }

  private static void cutAgain(ServiceWorld world, List<String> far, List<String> near) {
    world.network().healAll();
    far.forEach(name -> world.cut(name, near));
  }

  private static List<String> run(long seed) {
    ServiceWorld world = new ServiceWorld(seed, ServiceSize.FEW_CONNECTIONS);
    world.run(ChangeAfterAPartitionTest::part);
    List<String> found = new ArrayList<>(world.checks().violations());
    long changes = world.checks().countEvents("promoted");
    if (changes > 1) {
      found.add(changes + " changes of primary");
    }
    return found.stream().map(text -> "seed " + seed + ": " + text).toList();
  }

  @Test
  public void thePrimaryStaysAndDroppedWritesStayAway() {
    List<String> violations =
        LongStream.rangeClosed(1, SEEDS)
            .parallel()
            .mapToObj(ChangeAfterAPartitionTest::run)
            .flatMap(List::stream)
            .toList();
    assertEquals(String.join("; ", violations), "");
  }
}
