package standins2;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;

/**
 * All open connections between the machines and the members go silent at one moment, while new
 * ones work. Clients have transactions open at that moment, and end them without a commit.
 */
public final class SilentRollback {
  private static final int TRANSACTIONS_PER_EDGE = 11;
  private static final double GATE = 0.6;

  private final World world;

  private SilentRollback(World world) {
    this.world = world;
  }

  public static void main(String[] folders) throws Exception {
    World world = new World(Path.of(folders[0]), Path.of(folders[1]), 3, 3, 36, 6, true);
    new SilentRollback(world).run();
  }

  private void run() throws Exception {
    world.start();
    Requests all = new Requests(world, "bookings", "WRITE slot taken");
    all.run("before", 4, 400, 4_000);
    world.record.say("before: " + all);
    List<Client> open = transactions();
    world.record.say(open.size() + " transactions are open");
    if (world.trouble) {
      for (Tunnel tunnel : world.tunnels) {
        world.record.say("silent connections to " + tunnel.address() + ": " + tunnel.silence());
      }
    }
    end(open);
    // The bounds that hold in touch start again after contact-ms, 5 s.
    Thread.sleep(6_000);
    int servedBefore = all.served.get();
    all.run("after", 4, 400, 22_000);
    for (Member member : world.members) {
      world.record.say("connections open at " + member.id + ": " + member.open());
    }
    world.end(
        all.unservedShare() > GATE,
        "all requests: " + all + ", of these served after the end of the transactions "
            + (all.served.get() - servedBefore) + "; refused or failed "
            + Math.round(100 * all.unservedShare()) + "% (at most 60% allowed)");
  }

  /** Opens transactions at all machines, each with one statement so far. */
  private List<Client> transactions() throws Exception {
    List<Client> open = Collections.synchronizedList(new ArrayList<>());
    CountDownLatch begun = new CountDownLatch(world.fleet.edges.size() * TRANSACTIONS_PER_EDGE);
    for (int i = 0; i < TRANSACTIONS_PER_EDGE; i++) {
      for (Fleet.Machine edge : world.fleet.edges) {
        String id = "t" + edge.host.replace('.', 'x') + "x" + i;
        Member.daemon(
                () -> {
                  transaction(edge, id, open);
                  begun.countDown();
                })
            .start();
      }
      Thread.sleep(60);
    }
    begun.await();
    return open;
  }

  private void transaction(Fleet.Machine edge, String id, List<Client> open) {
    try {
      Client client = new Client(edge.front(), 5_000);
      client.start("bookings", "u1");
      client.query(id + "b", "BEGIN");
      Client.Answer answer = client.query(id, "READ slot");
      world.record.line("TRANSACTION " + id + " at " + edge.host + ": " + answer);
      if (answer.isSuccess()) {
        open.add(client);
      } else {
        client.close();
      }
    } catch (Exception e) {
      world.record.line("TRANSACTION " + id + " at " + edge.host + ": " + e);
    }
  }

  /** A third rolls back, a third leaves, and a third rests for longer than tx-idle-ms, 3 s. */
  private void end(List<Client> open) throws Exception {
    for (int i = 0; i < open.size(); i++) {
      if (i % 3 == 0) {
        world.record.line("ROLLBACK: " + open.get(i).query("r" + i, "ROLLBACK"));
        open.get(i).close();
      } else if (i % 3 == 1) {
        open.get(i).close();
      }
    }
  }
}
