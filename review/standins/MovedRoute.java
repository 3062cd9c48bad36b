import java.io.IOException;
import java.nio.file.Path;

/**
 * A transaction is open at a member of the first service when its route moves to the second one.
 * After its commit, a read with bounded staleness at the same edge goes to the second service,
 * whose replicas have received nothing for some seconds.
 *
 * <p>The rule is broken if the read succeeds at a replica whose log lacks a commit that was
 * acknowledged more than "max-staleness-ms" before the read was sent.
 */
final class MovedRoute {
  private static final int HELD = 0;
  private static final int BROKEN = 1;
  private static final int NOT_RUN = 2;
  private static final long MAX_STALENESS_MILLIS = 1_500;

  private MovedRoute() {}

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int result;
    try (Record record = new Record(Path.of(arguments[1]));
        Fleet fleet = new Fleet(record, Path.of(arguments[0]), 3)) {
      result = play(record, fleet, trouble);
      record.write(
          result == HELD ? "the rule held" : result == BROKEN ? "the rule is broken" : "not run");
    }
    System.exit(result);
  }

  private static int play(Record record, Fleet fleet, boolean trouble) throws Exception {
    for (int i = 0; i < 3; i++) {
      fleet.startControl(i, true);
      fleet.startEdge(i);
    }
    if (!fleet.configure(Document.ofTwo(1, "ledger1", "ledger2", false), 30_000)) {
      return NOT_RUN;
    }
    Member.ServiceLog first = new Member.ServiceLog("ledger1", 100);
    Member.ServiceLog second = new Member.ServiceLog("ledger2", 4_000);
    new Member(record, first, "i-11", "127.0.0.1", true, fleet.controls);
    new Member(record, first, "i-12", "127.0.0.1", false, fleet.controls);
    new Member(record, first, "i-13", "127.0.0.1", false, fleet.controls);
    new Member(record, second, "i-21", "127.0.0.1", true, fleet.controls);
    Member[] replicas = {
      new Member(record, second, "i-22", "127.0.0.1", false, fleet.controls),
      new Member(record, second, "i-23", "127.0.0.1", false, fleet.controls)
    };
    if (!served(record, fleet, 0, "dbfirst") || !served(record, fleet, 1, "dbsecond")
        || !served(record, fleet, 0, "dbcatalogue")) {
      return NOT_RUN;
    }
    Clock.sleep(6_000);
    for (Member replica : replicas) {
      replica.turnDeaf();
    }
    try (Client writer = new Client(record, "u1", fleet.sessionAddress(1), "dbsecond");
        Client mover = new Client(record, "u2", fleet.sessionAddress(0), "dbroyalty");
        Client reader = new Client(record, "u3", fleet.sessionAddress(0), "dbcatalogue")) {
      if (!isDone(writer.run("WRITE 1a4 price"))) {
        return NOT_RUN;
      }
      long acknowledged = Clock.now();
      long commit = second.last.get();
      Clock.sleep(2_500);
      if (!isDone(mover.run("BEGIN")) || !isDone(mover.run("WRITE 2b5 licence"))) {
        return NOT_RUN;
      }
      if (trouble && !fleet.configure(Document.ofTwo(4, "ledger1", "ledger2", true), 1_500)) {
        return NOT_RUN;
      }
      Clock.sleep(800);
      if (!isDone(mover.run("COMMIT"))) {
        return NOT_RUN;
      }
      for (Member replica : replicas) {
        replica.takeReadAt();
      }
      for (int i = 0; i < 5; i++) {
        long sent = Clock.now();
        boolean done = isDone(reader.run("READ 1a4"));
        for (Member replica : replicas) {
          long readAt = replica.takeReadAt();
          boolean old = acknowledged + MAX_STALENESS_MILLIS < sent;
          if (done && old && readAt >= 0 && readAt < commit) {
            record.write("the read ran on the log up to 3." + readAt + ", without 3." + commit
                + ", acknowledged " + (sent - acknowledged) + " ms before the read was sent");
            return BROKEN;
          }
        }
        Clock.sleep(100);
      }
      return HELD;
    }
  }

  private static boolean isDone(String answer) {
    return answer != null && answer.startsWith("COMPLETE ");
  }

  /** Waits until an edge serves a read of this database. */
  private static boolean served(Record record, Fleet fleet, int edge, String database) {
    for (int i = 0; i < 60; i++) {
      if (fleet.isReady(edge)) {
        try (Client client = new Client(record, "w", fleet.sessionAddress(edge), database)) {
          if (isDone(client.run("READ 1a4"))) {
            return true;
          }
        } catch (IOException e) {
          record.write("edge-" + edge + " does not serve " + database + " yet: " + e.getMessage());
        }
      }
      Clock.sleep(500);
    }
    return false;
  }
}
