import java.nio.file.Path;

/**
 * A transaction is open at an edge that gets SIGTERM. One of its statements is running when half of
 * the grace period is over; the client goes on with the transaction. Its COMMIT is sent 4.8 s
 * after the SIGTERM and takes the member 450 ms.
 *
 * <p>The rule is broken if the connection ends without a complete answer to a statement that was
 * sent more than 3 s after the SIGTERM and that a member had begun to run.
 */
final class StopInTransaction {
  private static final int HELD = 0;
  private static final int BROKEN = 1;
  private static final int NOT_RUN = 2;

  /** Work of a statement in milliseconds: the largest of "royalty", 82, at a member 5.5 x slower. */
  private static final long SLOW_MILLIS = 450;

  /** Statements of the transaction, and their times in milliseconds after the SIGTERM. */
  private static final String[] STATEMENTS = {
    "WRITE 1a4 booking", "READ 1a4", "READ 1a4", "READ 1a4", "COMMIT"
  };

  private static final long[] TIMES = {200, 1_200, 2_750, 3_500, 4_800};

  private StopInTransaction() {}

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path here = Path.of(arguments[1]);
    int result;
    try (Record record = new Record(here.resolve("record.txt"));
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
    Member primary = new Member(record, log, "i-1", "127.0.0.1", true, fleet.controls);
    new Member(record, log, "i-2", "127.0.0.1", false, fleet.controls);
    new Member(record, log, "i-3", "127.0.0.1", false, fleet.controls);
    if (!served(record, fleet)) {
      return NOT_RUN;
    }
    Clock.sleep(6_000);
    try (Client client = new Client(record, "u1", fleet.sessionAddress(0), "dbprimary")) {
      if (client.run("BEGIN") == null || !isDone(client.run("READ 1a4"))) {
        return NOT_RUN;
      }
      primary.workMillis = SLOW_MILLIS;
      long start = Clock.now();
      if (trouble) {
        fleet.signal("edge-0", "TERM");
      }
      for (int i = 0; i < STATEMENTS.length; i++) {
        Clock.sleep(start + TIMES[i] - Clock.now());
        long sent = Clock.now() - start;
        String answer = client.run(STATEMENTS[i]);
        if (answer == null) {
          record.write("no answer to the statement sent at " + sent + " ms, ended at "
              + (Clock.now() - start) + " ms");
          return sent > 3_000 && primary.hasBegun(STATEMENTS[i]) ? BROKEN : NOT_RUN;
        }
        if (!isDone(answer)) {
          record.write("the transaction was ended with an answer");
          return HELD;
        }
      }
      return HELD;
    }
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
