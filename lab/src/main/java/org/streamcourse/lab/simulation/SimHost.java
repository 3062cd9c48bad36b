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
 * A simulated process with its placement, its clock and its state: running, frozen or dead. Tasks
 * of an earlier incarnation of the process never run after a restart.
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
  private int incarnation;
  private Runnable onKilled = () -> {};
  private final Consumer<RuntimeException> onFailure;

  /**
   * Creates a host that is not running.
   *
   * @param name name of the host
   * @param placement region and zone
   * @param scheduler virtual clock
   * @param clockRate rate of the host's clock relative to the virtual clock
   * @param onFailure receives the exception of a task that fails
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

  /** Returns the number of the current incarnation, which each restart increments. */
  int incarnation() {
    return incarnation;
  }

  void boot(Runnable whenKilled) {
    incarnation++;
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
   * Runs a task of an incarnation: at once if it is the current one and runs, after the thaw if it
   * is frozen, never if it has ended.
   */
  void execute(int ofIncarnation, Runnable task) {
    if (ofIncarnation != incarnation || state == State.DEAD) {
      return;
    }
    if (state == State.FROZEN) {
      frozenTasks.add(() -> execute(ofIncarnation, task));
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

  /** Returns a worker of the current incarnation. */
  Worker worker() {
    return new HostWorker(incarnation);
  }

  private final class HostWorker implements Worker {
    private final int ofIncarnation;

    HostWorker(int ofIncarnation) {
      this.ofIncarnation = ofIncarnation;
    }

    @Override
    public long now() {
      return (long) (scheduler.now(TimeUnit.MILLISECONDS) * clockRate);
    }

    @Override
    public void execute(Runnable task) {
      scheduler.schedule(() -> SimHost.this.execute(ofIncarnation, task));
    }

    @Override
    public Disposable schedule(long delayMillis, Runnable task) {
      long micros = (long) (delayMillis * 1_000 / clockRate);
      return scheduler.schedule(
          () -> SimHost.this.execute(ofIncarnation, task), micros, TimeUnit.MICROSECONDS);
    }
  }
}
