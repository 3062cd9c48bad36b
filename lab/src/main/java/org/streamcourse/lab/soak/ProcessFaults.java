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
 * Injects faults of processes by signals to their ids, and faults of storage on their data folders.
 */
final class ProcessFaults {
  /** Flag with which a controller takes an empty data folder as that of a new fleet. */
  private static final String BOOTSTRAP = "--bootstrap";

  /**
   * Longer than the sum of a planned stop's timeouts: 30 s for callers' transactions, 35 s for
   * members to close connections, 15 s for the controllers' confirmation.
   */
  private static final long STOP_TIMEOUT_SECONDS = 90;

  private final Fleet fleet;
  private final Map<String, FleetProcess> processes = new TreeMap<>();
  private final Set<String> busy = ConcurrentHashMap.newKeySet();

  ProcessFaults(Fleet fleet) {
    this.fleet = fleet;
    fleet.processes().forEach(each -> processes.put(each.name(), each));
  }

  /** Injects a fault and undoes it after its duration; returns a description of what was done. */
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

  /** Injects a fault of the member that is primary of the group now. */
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
    boolean ended = process.await(STOP_TIMEOUT_SECONDS);
    if (!ended) {
      process.kill();
    }
    process.startWithout(BOOTSTRAP);
    return ended
        ? "stopped and started"
        : "did not stop within " + STOP_TIMEOUT_SECONDS + " s, killed";
  }

  private String loseStorage(FleetProcess process, long lastsMillis) throws Exception {
    process.kill();
    deleteAll(fleet.dataFolder(process.name()));
    TimeUnit.MILLISECONDS.sleep(lastsMillis);
    process.startWithout(BOOTSTRAP);
    return "started on an empty folder";
  }

  /** Replaces the data folder by a plain file, on which writes fail for a privileged user too. */
  private String refuseStorage(FleetProcess process, long lastsMillis) throws Exception {
    Path folder = fleet.dataFolder(process.name());
    Path aside = folder.resolveSibling(folder.getFileName() + ".aside");
    process.kill();
    Files.move(folder, aside);
    Files.createFile(folder);
    process.startWithout(BOOTSTRAP);
    TimeUnit.MILLISECONDS.sleep(lastsMillis);
    boolean keptRunning = process.isAlive();
    process.kill();
    Files.delete(folder);
    Files.move(aside, folder);
    process.startWithout(BOOTSTRAP);
    return (keptRunning ? "ran" : "ended")
        + " on storage that refused writes; started on its own again";
  }

  private static void deleteAll(Path folder) throws IOException {
    if (!Files.exists(folder)) {
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      List<Path> childrenFirst = files.sorted(Comparator.reverseOrder()).toList();
      for (Path each : childrenFirst) {
        Files.delete(each);
      }
    }
  }
}
