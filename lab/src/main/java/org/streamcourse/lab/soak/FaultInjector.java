package org.streamcourse.lab.soak;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.streamcourse.lab.fleet.Fleet;

/** Carries out a plan, each fault on a thread of its own, and notes what became of it. */
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

  /** Carries out the whole plan; returns once every fault is undone. */
  void run() throws InterruptedException {
    List<Thread> threads = new ArrayList<>();
    for (PlannedFault planned : plan) {
      Thread thread = new Thread(() -> carryOut(planned), "fault-" + threads.size());
      thread.setDaemon(true);
      threads.add(thread);
      thread.start();
    }
    for (Thread thread : threads) {
      thread.join();
    }
  }

  /** Returns what became of the faults, in the order of their begin. */
  List<FaultEvent> events() {
    return events.stream().sorted(Comparator.comparingLong(FaultEvent::beganMillis)).toList();
  }

  /** Returns the newest configuration version that an operator was told is accepted. */
  long acceptedVersion() {
    return operators.acceptedVersion();
  }

  private void carryOut(PlannedFault planned) {
    try {
      TimeUnit.MILLISECONDS.sleep(Math.max(0, planned.atMillis() - progress.nowMillis()));
      long began = progress.nowMillis();
      progress.tell("begins " + planned.fault() + " for " + planned.lastsMillis() + " ms");
      String outcome = outcomeOf(planned);
      events.add(new FaultEvent(planned, began, progress.nowMillis(), outcome));
      progress.tell("ended  " + planned.fault() + ": " + outcome);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * A fault that can't be carried out, such as one of a group without primary, is noted as such.
   */
  private String outcomeOf(PlannedFault planned) throws InterruptedException {
    try {
      return carryOut(planned.fault(), planned.lastsMillis());
    } catch (InterruptedException e) {
      throw e;
    } catch (Exception e) {
      return "left out: " + e;
    }
  }

  private String carryOut(Fault fault, long lastsMillis) throws Exception {
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
