package org.streamcourse.lab.soak;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.streamcourse.lab.fleet.Fleet;

/** Executes a plan, each fault on its own thread, and records the outcome of each fault. */
final class FaultInjector {
  private final List<PlannedFault> plan;
  private final Progress progress;
  private final RouteFaults routes;
  private final ProcessFaults processes;
  private final OperatorActions operators;
  private final Collection<FaultEvent> events = new ConcurrentLinkedQueue<>();

  FaultInjector(Fleet fleet, List<PlannedFault> plan, Progress progress) {
    this.plan = plan;
    this.progress = progress;
    this.routes = new RouteFaults(fleet);
    this.processes = new ProcessFaults(fleet);
    this.operators = new OperatorActions(fleet);
  }

  /** Executes the whole plan; returns once every fault is undone. */
  void run() throws InterruptedException {
    List<Thread> threads = new ArrayList<>();
    for (PlannedFault planned : plan) {
      Thread thread = new Thread(() -> execute(planned), "fault-" + threads.size());
      thread.setDaemon(true);
      threads.add(thread);
      thread.start();
    }
    for (Thread thread : threads) {
      thread.join();
    }
  }

  /** Returns the executed faults in the order in which they began. */
  List<FaultEvent> events() {
    return events.stream().sorted(Comparator.comparingLong(FaultEvent::beganMillis)).toList();
  }

  /** Returns the highest configuration version that a controller accepted from an operator. */
  long acceptedVersion() {
    return operators.acceptedVersion();
  }

  private void execute(PlannedFault planned) {
    try {
      TimeUnit.MILLISECONDS.sleep(Math.max(0, planned.atMillis() - progress.nowMillis()));
      long began = progress.nowMillis();
      progress.print("begins " + planned.fault() + " for " + planned.lastsMillis() + " ms");
      String outcome = outcomeOf(planned);
      events.add(new FaultEvent(planned, began, progress.nowMillis(), outcome));
      progress.print("ended  " + planned.fault() + ": " + outcome);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Executes a fault; one that fails, as for a group without primary, is recorded as left out. */
  private String outcomeOf(PlannedFault planned) throws InterruptedException {
    try {
      return execute(planned.fault(), planned.lastsMillis());
    } catch (InterruptedException e) {
      throw e;
    } catch (Exception e) {
      return "left out: " + e;
    }
  }

  private String execute(Fault fault, long lastsMillis) throws Exception {
    if (fault instanceof Fault.RouteFault onRoutes) {
      return routes.run(onRoutes, lastsMillis);
    } else if (fault instanceof Fault.ProcessFault onProcess) {
      return processes.run(onProcess, lastsMillis);
    } else if (fault instanceof Fault.PrimaryFault onPrimary) {
      return processes.run(onPrimary, lastsMillis);
    } else if (fault instanceof Fault.OperatorAction action) {
      return operators.run(action, lastsMillis);
    }
    return operators.lag((Fault.LagMember) fault, lastsMillis);
  }
}
