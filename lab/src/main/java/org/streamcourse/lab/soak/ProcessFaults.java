package org.streamcourse.lab.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.streamcourse.lab.fleet.Fleet;
import org.streamcourse.lab.fleet.FleetProcess;

/**
 * Carries out faults of processes and their storage, by signals to their ids and on their files.
 */
final class ProcessFaults {
  /** Tells a controller that an empty data folder belongs to a new fleet. */
  private static final String BOOTSTRAP = "--bootstrap";

  /**
   * Longer than a planned stop's own limits: 30 s for callers' transactions, 35 s for members to
   * end connections, 15 s for the controllers' word.
   */
  private static final long STOP_SECONDS = 90;

  private final Fleet fleet;
  private final Map<String, FleetProcess> processes = new TreeMap<>();
  private final Set<String> busy = ConcurrentHashMap.newKeySet();

  ProcessFaults(Fleet fleet) {
    this.fleet = fleet;
    fleet.processes().forEach(each -> processes.put(each.name(), each));
  }

  /** Carries out a fault and undoes it after its time; returns what was done. */
  String run(Fault.ProcessFault fault, long lastsMillis) throws Exception {
    if (!busy.add(fault.process())) {
      return "left out: the process is in another fault";
    }
    try {
      FleetProcess process = processes.get(fault.process());
      if (fault instanceof Fault.PauseProcess) {
        return pause(process, lastsMillis);
      } else if (fault instanceof Fault.KillProcess) {
        return kill(process, lastsMillis);
      } else if (fault instanceof Fault.StopProcess) {
        return stop(process);
      } else if (fault instanceof Fault.LoseStorage) {
        return loseStorage(process, lastsMillis);
      }
      return refuseStorage(process, lastsMillis);
    } finally {
      busy.remove(fault.process());
    }
  }

  /** Carries out a fault of a group's primary. */
  String run(Fault.PrimaryFault fault, long lastsMillis) throws Exception {
    String primary = fleet.primary(fault.database()).process().name();
    Fault.ProcessFault onProcess =
        fault instanceof Fault.CrashPrimary
            ? new Fault.KillProcess(primary)
            : new Fault.PauseProcess(primary);
    return primary + ": " + run(onProcess, lastsMillis);
  }

  private static String pause(FleetProcess process, long lastsMillis) throws Exception {
    process.pause();
    try {
      TimeUnit.MILLISECONDS.sleep(lastsMillis);
    } finally {
      process.resume();
    }
    return "paused";
  }

  private static String kill(FleetProcess process, long lastsMillis) throws Exception {
    process.kill();
    TimeUnit.MILLISECONDS.sleep(lastsMillis);
    process.startWithout(BOOTSTRAP);
    return "killed and started";
  }

  private static String stop(FleetProcess process) throws IOException {
    process.terminate();
    boolean ended = process.await(STOP_SECONDS);
    if (!ended) {
      process.kill();
    }
    process.startWithout(BOOTSTRAP);
    return ended ? "stopped and started" : "did not stop within " + STOP_SECONDS + " s, killed";
  }

  private String loseStorage(FleetProcess process, long lastsMillis) throws Exception {
    process.kill();
    deleteAll(fleet.dataFolder(process.name()));
    TimeUnit.MILLISECONDS.sleep(lastsMillis);
    process.startWithout(BOOTSTRAP);
    return "started on an empty folder";
  }

  /** A plain file in the folder's place refuses every write, also to a privileged user. */
  private String refuseStorage(FleetProcess process, long lastsMillis) throws Exception {
    Path folder = fleet.dataFolder(process.name());
    Path aside = folder.resolveSibling(folder.getFileName() + ".aside");
    process.kill();
    Files.move(folder, aside);
    Files.createFile(folder);
    process.startWithout(BOOTSTRAP);
    TimeUnit.MILLISECONDS.sleep(lastsMillis);
    boolean ran = process.isAlive();
    process.kill();
    Files.delete(folder);
    Files.move(aside, folder);
    process.startWithout(BOOTSTRAP);
    return (ran ? "ran" : "ended") + " on storage that refused writes; started on its own again";
  }

  private static void deleteAll(Path folder) throws IOException {
    if (!Files.exists(folder)) {
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      List<Path> leavesFirst = files.sorted(Comparator.reverseOrder()).toList();
      for (Path each : leavesFirst) {
        Files.delete(each);
      }
    }
  }
}
