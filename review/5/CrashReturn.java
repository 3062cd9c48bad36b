package standins2;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentSkipListSet;

/**
 * A service with one synchronous replica, whose primary crashes and is back, with its log, a second
 * later; this arises several times. Clients write all the time.
 */
public final class CrashReturn {
  private static final int CRASHES = 12;
  private static final long DOWN_MILLIS = 1_000;
  private static final long CALM_MILLIS = 5_500;
  private static final int WRITERS = 30;

  private final World world;
  private final Set<String> acknowledged = new ConcurrentSkipListSet<>();

  private CrashReturn(World world) {
    this.world = world;
  }

  public static void main(String[] folders) throws Exception {
    World world = new World(Path.of(folders[0]), Path.of(folders[1]), 3, 5, 50, 11, false);
    world.group.syncReplicas = 1;
    new CrashReturn(world).run();
  }

  private void run() throws Exception {
    world.start();
    for (int i = 0; i < WRITERS; i++) {
      int number = i;
      Member.daemon(() -> write(number)).start();
    }
    int crashes = world.trouble ? CRASHES : 0;
    Set<String> missing = new TreeSet<>();
    for (int i = 0; i < CRASHES && missing.isEmpty(); i++) {
      Thread.sleep(2_000);
      if (i < crashes) {
        Member primary = world.group.leader();
        if (primary == null) {
          world.couldNotRun("the service has no primary after " + CALM_MILLIS + " ms");
          return;
        }
        world.record.line("CRASHES " + primary.id);
        primary.crash();
        Thread.sleep(DOWN_MILLIS);
        world.record.line("RETURNS " + primary.id + " as i-" + (4 + i));
        primary.reborn("i-" + (4 + i));
      }
      Thread.sleep(CALM_MILLIS - 2_000);
      missing = missing();
    }
    world.end(
        !missing.isEmpty(),
        acknowledged.size() + " commits acknowledged to clients; the log of the present primary "
            + world.group.leader().id + " lacks " + missing.size() + " of them: " + missing);
  }

  /** Returns the acknowledged writes that the primary's log lacks. */
  private Set<String> missing() {
    Set<String> missing = new TreeSet<>(acknowledged);
    Member primary = world.group.leader();
    if (primary == null) {
      return Set.of();
    }
    missing.removeAll(world.group.idsOf(primary));
    return missing;
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
          Thread.sleep(answer.isSuccess() ? 10 : 100);
          i++;
        }
      } catch (IOException e) {
        world.record.line("CLIENT " + id + ": " + e);
      } catch (InterruptedException e) {
        return;
      }
    }
  }
}
