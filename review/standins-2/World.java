package standins2;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A small deployment: machines, one service of three members, and the platform. */
public final class World implements AutoCloseable {
  public static final String SERVICE = "ledger7";

  private static final long LONGEST_MILLIS = 112_000;

  public final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  public final Log record;
  public final Group group = new Group(SERVICE, 8, 1_000);
  public final List<Member> members = new ArrayList<>();
  public final List<Tunnel> tunnels = new ArrayList<>();
  public final Fleet fleet;
  private final int maxConnections;

  static {
    // A case that fails by itself could not run, which is not a broken rule.
    Thread main = Thread.currentThread();
    Thread.setDefaultUncaughtExceptionHandler(
        (thread, cause) -> {
          cause.printStackTrace();
          if (thread == main) {
            System.exit(2);
          }
        });
  }

  /**
   * Creates a world in which nothing runs yet.
   *
   * @param recordFile file to which the record is appended
   * @param root the repository's root
   */
  public World(
      Path recordFile, Path root, int edges, int slots, int maxConnections, long workMillis,
      boolean throughTunnels)
      throws Exception {
    this.maxConnections = maxConnections;
    record = new Log(recordFile);
    record.line("trouble " + trouble);
    fleet = new Fleet(root, edges, 3);
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    Thread watchdog = new Thread(this::endInTime);
    watchdog.setDaemon(true);
    watchdog.start();
    fleet.setPlatform(Http.platform("127.41.0.1", group, record));
    for (int i = 1; i <= 3; i++) {
      Member member =
          new Member(
              group, "i-" + i, i == 1, "127.42.0." + i, "zone-" + i, fleet.controls(), slots,
              maxConnections, 12, workMillis, record);
      if (throughTunnels) {
        Tunnel tunnel = new Tunnel("127.43.0." + i, member.ownAddress());
        tunnels.add(tunnel);
        member.address = tunnel.address();
      }
      members.add(member);
    }
  }

  private void endInTime() {
    try {
      Thread.sleep(LONGEST_MILLIS);
      couldNotRun("it took more than " + LONGEST_MILLIS + " ms");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Creates one more replica, which doesn't run yet. */
  public Member replica(String id, int number, int slots, long workMillis) throws Exception {
    return new Member(
        group, id, false, "127.42.0." + number, "zone-" + (number % 3 + 1), fleet.controls(),
        slots, maxConnections, 12, workMillis, record);
  }

  /** Starts everything; ends the case with 2 when the system doesn't serve a write in time. */
  public void start() throws Exception {
    if (!fleet.startAll(Documents.of(3, SERVICE, maxConnections, group.syncReplicas), members)) {
      couldNotRun("the machines are not ready in 40 s");
    }
    for (Fleet.Machine edge : fleet.edges) {
      boolean served = false;
      for (int attempt = 0; !served && attempt < 50; attempt++) {
        served = write(edge, "warm" + attempt + edge.host.replace('.', 'x'), "WRITE warm up");
        Thread.sleep(served ? 0 : 200);
      }
      if (!served) {
        couldNotRun(edge.host + " serves no write");
      }
    }
    record.line("the system serves");
  }

  /** Sends a single statement on a session of its own; returns whether it succeeded. */
  public boolean write(Fleet.Machine edge, String id, String text) {
    try (Client client = new Client(edge.front(), 3_000)) {
      if (!client.start("bookings", "u1")) {
        record.line("CLIENT " + edge.host + " " + id + " START refused");
        return false;
      }
      record.line("CLIENT " + edge.host + " " + id + " sends " + Member.head(text));
      Client.Answer answer = client.query(id, text);
      record.line(
          "CLIENT " + edge.host + " " + id + " gets "
              + (answer.isSuccess() ? "COMPLETE" : "ERROR " + answer.code()) + " " + answer.text());
      return answer.isSuccess();
    } catch (Exception e) {
      record.line("CLIENT " + edge.host + " " + id + " fails: " + e);
      return false;
    }
  }

  public void couldNotRun(String why) {
    record.say("could not run: " + why);
    close();
    System.exit(2);
  }

  /** Ends the case. */
  public void end(boolean broken, String finding) {
    record.say((broken ? "BROKEN: " : "held: ") + finding);
    close();
    System.exit(broken ? 1 : 0);
  }

  @Override
  public void close() {
    fleet.close();
  }
}
