package org.streamcourse.lab.simulation;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.streamcourse.process.Worker;
import org.streamcourse.version.image.Placement;
import reactor.core.Disposable;
import reactor.core.scheduler.Scheduler;

/**
 * One simulated process: its placement, its clock, and whether it runs, is frozen or is dead. Tasks
 * of an earlier run of the process never run after a restart.
 */
public final class SimHost {
  private enum State {
    RUNNING,
    FROZEN,
    DEAD
  }

  private final String name;
  private final Placement placement;
  private final Scheduler scheduler;
  private final double clockRate;
  private final Deque<Runnable> frozenTasks = new ArrayDeque<>();
  private State state = State.DEAD;
  private int run;
  private Runnable onKilled = () -> {};
  private final Consumer<RuntimeException> onFailure;

  /**
   * Creates a host that is not running.
   *
   * @param name its name
   * @param placement region and zone
   * @param scheduler virtual clock
   * @param clockRate speed of its clock against the virtual one
   * @param onFailure hears of tasks that end with an exception
   */
  public SimHost(
      String name,
      Placement placement,
      Scheduler scheduler,
      double clockRate,
      Consumer<RuntimeException> onFailure) {
    this.name = name;
    this.placement = placement;
    this.scheduler = scheduler;
    this.clockRate = clockRate;
    this.onFailure = onFailure;
  }

  String name() {
    return name;
  }

  Placement placement() {
    return placement;
  }

  boolean isUp() {
    return state != State.DEAD;
  }

  boolean isRunning() {
    return state == State.RUNNING;
  }

  /** Number of the present run; differs after each restart. */
  int run() {
    return run;
  }

  void boot(Runnable whenKilled) {
    run++;
    state = State.RUNNING;
    onKilled = whenKilled;
  }

  void kill() {
    if (state == State.DEAD) {
      return;
    }
    state = State.DEAD;
    frozenTasks.clear();
    onKilled.run();
  }

  void freeze() {
    if (state == State.RUNNING) {
      state = State.FROZEN;
    }
  }

  void thaw() {
    if (state == State.FROZEN) {
      state = State.RUNNING;
      Deque<Runnable> due = new ArrayDeque<>(frozenTasks);
      frozenTasks.clear();
      due.forEach(scheduler::schedule);
    }
  }

  /**
   * Runs a task of a given run of the process, now, later or never, as the process's state asks.
   */
  void execute(int ofRun, Runnable task) {
    if (ofRun != run || state == State.DEAD) {
      return;
    }
    if (state == State.FROZEN) {
      frozenTasks.add(() -> execute(ofRun, task));
      return;
    }
    try {
      task.run();
    } catch (SimDisk.CrashException e) {
      kill();
    } catch (RuntimeException e) {
      onFailure.accept(e);
    }
  }

  /** A worker of the present run. */
  Worker worker() {
    return new HostWorker(run);
  }

  private final class HostWorker implements Worker {
    private final int ofRun;

    HostWorker(int ofRun) {
      this.ofRun = ofRun;
    }

    @Override
    public long now() {
      return (long) (scheduler.now(TimeUnit.MILLISECONDS) * clockRate);
    }

    @Override
    public void execute(Runnable task) {
      scheduler.schedule(() -> SimHost.this.execute(ofRun, task));
    }

    @Override
    public Disposable schedule(long delayMillis, Runnable task) {
      long micros = (long) (delayMillis * 1_000 / clockRate);
      return scheduler.schedule(
          () -> SimHost.this.execute(ofRun, task), micros, TimeUnit.MICROSECONDS);
    }
  }
}
