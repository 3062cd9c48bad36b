import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A planned replacement of a machine of the core: the new machine starts first, with an empty disk
 * and at a new address, and has its catch-up time. Then the old one gets SIGTERM and is gone for
 * good. Two seconds later another machine of the core loses its disk and starts again at its old
 * address. At each moment at most one machine counts as lost.
 *
 * <p>The rule is broken if the acknowledged configuration isn't read back within 45 s.
 */
final class PlannedReplacement {
  private static final int HELD = 0;
  private static final int BROKEN = 1;
  private static final int NOT_RUN = 2;
  private static final long CATCH_UP_MILLIS = 4_000;
  private static final long READ_BACK_MILLIS = 45_000;
  private static final int REMOVED = 2;
  private static final int WIPED = 1;
  private static final int SUCCESSOR = 3;

  private PlannedReplacement() {}

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    long wipeAfterMillis = Long.parseLong(System.getenv().getOrDefault("WIPE_AFTER_MILLIS", "2000"));
    int result;
    try (Record record = new Record(Path.of(arguments[1]).resolve("record.txt"));
        Fleet fleet = new Fleet(record, Path.of(arguments[0]), 4)) {
      result = play(record, fleet, trouble, wipeAfterMillis);
      record.write(
          result == HELD ? "the rule held" : result == BROKEN ? "the rule is broken" : "not run");
    }
    System.exit(result);
  }

  private static int play(Record record, Fleet fleet, boolean trouble, long wipeAfterMillis)
      throws Exception {
    for (int i = 0; i < 3; i++) {
      fleet.startControl(i, true);
    }
    if (!fleet.configure(Document.of(1, "ledger1"), 30_000)
        || !fleet.configure(Document.of(7, "ledger1"), 5_000)) {
      return NOT_RUN;
    }
    Clock.sleep(5_000);
    fleet.startControl(SUCCESSOR, false);
    if (!readBack(record, fleet, List.of(SUCCESSOR), 20_000)) {
      return NOT_RUN;
    }
    Clock.sleep(2 * CATCH_UP_MILLIS);
    if (trouble) {
      fleet.signal("core-" + REMOVED, "TERM");
      Process removed = fleet.processes.get("core-" + REMOVED);
      removed.waitFor();
      record.write("core-" + REMOVED + " has ended with status " + removed.exitValue());
      Clock.sleep(wipeAfterMillis);
      fleet.signal("core-" + WIPED, "KILL");
      fleet.processes.get("core-" + WIPED).waitFor();
      Fleet.delete(fleet.folder.resolve("data-core-" + WIPED));
      record.write("core-" + WIPED + " has lost its disk");
      Clock.sleep(1_000);
      fleet.startControl(WIPED, false);
    }
    return readBack(record, fleet, List.of(0, WIPED, SUCCESSOR), READ_BACK_MILLIS) ? HELD : BROKEN;
  }

  /** Reads the configuration at each of the machines in turn until one gives version 7. */
  private static boolean readBack(
      Record record, Fleet fleet, List<Integer> machines, long withinMillis) {
    long end = Clock.now() + withinMillis;
    Map<Integer, String> last = new HashMap<>();
    while (Clock.now() < end) {
      for (int machine : machines) {
        Http.Result result = Http.get(fleet.controls[machine], "/streamcourse/Config.Fetch");
        String seen = "core-" + machine + " answers a read with " + result.status + " " + result.body;
        if (!seen.equals(last.put(machine, seen))) {
          record.write(seen.length() > 160 ? seen.substring(0, 160) + "..." : seen);
        }
        if (result.status == 200 && result.body.startsWith("{\"version\":7,")) {
          return true;
        }
        Clock.sleep(300);
      }
    }
    return false;
  }
}
