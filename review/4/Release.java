package standins2;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.concurrent.TimeUnit;

/**
 * A service with one synchronous replica; two of its members are replaced one after the other, the
 * primary first. Clients write all the time.
 */
public final class Release {
  /** Time from the start of a new member to the drain of the old one, and to the next start. */
  private static final long GAP_MILLIS = 1_500;

  private static final int WRITERS = 12;

  private final World world;
  private final Set<String> acknowledged = new ConcurrentSkipListSet<>();

  private Release(World world) {
    this.world = world;
  }

  public static void main(String[] folders) throws Exception {
    World world = new World(Path.of(folders[0]), Path.of(folders[1]), 3, 3, 36, 6, false);
    world.group.syncReplicas = 1;
    new Release(world).run();
  }

  private void run() throws Exception {
    world.start();
    for (int i = 0; i < WRITERS; i++) {
      int number = i;
      Member.daemon(() -> write(number)).start();
    }
    Thread.sleep(3_000);
    if (world.trouble) {
      release();
    } else {
      Thread.sleep(4 * GAP_MILLIS);
    }
    Thread.sleep(8_000);
    check();
  }

  private void release() throws Exception {
    Member old = world.members.get(0);
    world.record.line("STARTS i-4, the successor of i-1");
    world.replica("i-4", 4, 3, 6).join();
    Thread.sleep(GAP_MILLIS);
    world.record.line("DRAINS i-1, the primary");
    old.state = "draining";
    old.beatNow();
    Thread.sleep(GAP_MILLIS);
    world.record.line("STARTS i-5, the successor of i-3");
    world.replica("i-5", 5, 3, 6).join();
    Thread.sleep(GAP_MILLIS);
    world.record.line("DRAINS i-3");
    world.members.get(2).state = "draining";
    world.members.get(2).beatNow();
  }

  private void check() {
    Member primary = world.group.leader();
    if (primary == null || (world.trouble && primary == world.members.get(0))) {
      world.couldNotRun("no other member has become primary");
      return;
    }
    Set<String> kept = world.group.idsOf(primary);
    Set<String> missing = new TreeSet<>(acknowledged);
    missing.removeAll(kept);
    world.end(
        !missing.isEmpty(),
        acknowledged.size() + " commits acknowledged to clients; the log of the present primary "
            + primary.id + " lacks " + missing.size() + " of them: " + missing);
  }

  private void write(int number) {
    Fleet.Machine edge = world.fleet.edges.get(number % world.fleet.edges.size());
    for (int i = 0; true; i++) {
      String id = "w" + number + "x" + i;
      try (Client client = new Client(edge.front(), 4_000)) {
        client.start("bookings", "u" + number);
        while (true) {
          id = "w" + number + "x" + i;
          Client.Answer answer = client.query(id, "WRITE slot" + number + " " + id);
          world.record.line(
              "CLIENT sent " + id + " WRITE slot" + number + ", got "
                  + (answer.isSuccess() ? "COMPLETE " : "ERROR " + answer.code() + ' ')
                  + answer.text());
          if (answer.isSuccess() && answer.text().startsWith("sig." + id + ".")) {
            acknowledged.add(id);
          }
          i++;
          TimeUnit.MILLISECONDS.sleep(100);
        }
      } catch (IOException e) {
        world.record.line("CLIENT " + id + ": " + e);
      } catch (InterruptedException e) {
        return;
      }
    }
  }
}
