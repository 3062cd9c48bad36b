import java.nio.file.Path;
import java.util.Arrays;

/**
 * A transaction of reads is open at an edge that gets SIGTERM. One of its statements is running when
 * half of the grace period is over; the client goes on with the transaction. The last statement is
 * sent 4.85 s after the SIGTERM. Nothing else is disturbed: the members work as they always may.
 *
 * <p>The rule is broken if the connection ends without a complete answer to a statement that was
 * sent more than 3 s after the SIGTERM and that a member had begun to run.
 */
final class StopInTransaction {
  private static final int HELD = 0;
  private static final int BROKEN = 1;
  private static final int NOT_RUN = 2;

  /** Work of a read in milliseconds; reads of "catalogue" take up to 410. */
  private static final long WORK_MILLIS = 400;

  /** Things that the transaction reads, and the times of these reads after the SIGTERM. */
  private static final String[] THINGS = {"2b5", "3c6", "4d7", "5e8"};

  private static final long[] TIMES = {200, 1_500, 2_750, 4_850};

  private StopInTransaction() {}

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
    if (!fleet.configure(Document.of(1, "ledger1"), 30_000)) {
      return NOT_RUN;
    }
    Member.ServiceLog log = new Member.ServiceLog("ledger1", 100);
    Member[] members = {
      new Member(record, log, "i-1", "127.0.0.1", true, fleet.controls),
      new Member(record, log, "i-2", "127.0.0.1", false, fleet.controls),
      new Member(record, log, "i-3", "127.0.0.1", false, fleet.controls)
    };
    if (!served(record, fleet)) {
      return NOT_RUN;
    }
    Clock.sleep(6_000);
    try (Client client = new Client(record, "u1", fleet.sessionAddress(0), "dbstale")) {
      if (client.run("BEGIN READ") == null || !isDone(client.run("READ 1a4"))) {
        return NOT_RUN;
      }
      for (Member member : members) {
        member.workMillis = WORK_MILLIS;
      }
      long start = Clock.now();
      if (trouble) {
        fleet.signal("edge-0", "TERM");
      }
      for (int i = 0; i < THINGS.length; i++) {
        Clock.sleep(start + TIMES[i] - Clock.now());
        long sent = Clock.now() - start;
        String answer = client.run("READ " + THINGS[i]);
        if (answer == null) {
          record.write("no answer to the statement sent at " + sent + " ms, ended at "
              + (Clock.now() - start) + " ms");
          return sent > 3_000 && hasBegun(members, "READ " + THINGS[i]) ? BROKEN : NOT_RUN;
        }
        if (!isDone(answer)) {
          record.write("the transaction was ended with an answer");
          return HELD;
        }
      }
      return isDone(client.run("COMMIT")) ? HELD : NOT_RUN;
    }
  }

  private static boolean hasBegun(Member[] members, String text) {
    return Arrays.stream(members).anyMatch(member -> member.hasBegun(text));
  }

  private static boolean isDone(String answer) {
    return answer != null && answer.startsWith("COMPLETE ");
  }

  /** Waits until every edge serves a statement at the primary. */
  private static boolean served(Record record, Fleet fleet) {
    for (int edge = 0; edge < 3; edge++) {
      boolean done = false;
      for (int i = 0; i < 60 && !done; i++) {
        Clock.sleep(500);
        if (fleet.isReady(edge)) {
          try (Client client = new Client(record, "w" + edge, fleet.sessionAddress(edge), "dbprimary")) {
            done = isDone(client.run("READ 1a4"));
          } catch (java.io.IOException e) {
            record.write("edge " + edge + " does not serve yet: " + e);
          }
        }
      }
      if (!done) {
        return false;
      }
    }
    return true;
  }
}
