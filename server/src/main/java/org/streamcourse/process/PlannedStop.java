package org.streamcourse.process;

import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The steps of a proxy's planned stop, the same in the process and in the simulator.
 *
 * <p>First the callers' sessions end, each between two requests. Then the node reports to the
 * controllers that it is draining, and its allowances move to other nodes once its gateways'
 * streams have ended. Finally the node lingers for as long as an edge may route by an older image,
 * and refuses requests that still arrive: an edge that receives "not run" retries at another node,
 * while an edge that only loses its link must report the outcome as unknown.
 */
public final class PlannedStop {
  private static final Logger LOG = LoggerFactory.getLogger(PlannedStop.class);

  /** Time between two calls of {@link #advance} in milliseconds. */
  public static final long POLL_MILLIS = 20;

  /**
   * Time limit of each step in milliseconds.
   *
   * @param drainMillis limit for callers' open transactions to end
   * @param handoverMillis limit for moving the allowances to other nodes
   * @param lingerMillis time for edges to receive an image without this node
   */
  public record Limits(long drainMillis, long handoverMillis, long lingerMillis) {}

  private enum Step {
    DRAIN,
    HANDOVER,
    LINGER,
    DONE
  }

  private final ProxyNode node;
  private final BooleanSupplier sessionsEnded;
  private final Limits limits;
  private Step step = Step.DRAIN;
  private long stepStartedAt;

  /**
   * Begins a stop; the sessions must be draining already.
   *
   * @param node node to stop
   * @param sessionsEnded whether all callers' sessions have ended
   * @param limits time limits of the steps
   * @param now current time in milliseconds
   */
  public PlannedStop(ProxyNode node, BooleanSupplier sessionsEnded, Limits limits, long now) {
    this.node = node;
    this.sessionsEnded = sessionsEnded;
    this.limits = limits;
    this.stepStartedAt = now;
  }

  /**
   * Advances to the next step if it is due; must be called every {@link #POLL_MILLIS}.
   *
   * @param now current time in milliseconds
   * @return true once the process may exit
   */
  public boolean advance(long now) {
    long elapsed = now - stepStartedAt;
    switch (step) {
      case DRAIN -> {
        if (sessionsEnded.getAsBoolean() || isTimedOut(elapsed, limits.drainMillis())) {
          node.agent().leave();
          enter(Step.HANDOVER, now);
        }
      }
      case HANDOVER -> {
        if (node.gateways().isDrained() || isTimedOut(elapsed, limits.handoverMillis())) {
          enter(Step.LINGER, now);
        }
      }
      case LINGER -> {
        if (elapsed >= limits.lingerMillis()) {
          enter(Step.DONE, now);
        }
      }
      case DONE -> {
        // The stop has finished.
      }
    }
    return step == Step.DONE;
  }

  /** Returns whether a step has reached its time limit; ending it may interrupt requests. */
  private boolean isTimedOut(long elapsed, long limitMillis) {
    boolean timedOut = elapsed >= limitMillis;
    if (timedOut) {
      LOG.warn(
          "planned stop: step {} timed out after {} ms; {} streams and gateways {} are still open",
          step,
          elapsed,
          node.gateways().openStreams(),
          node.gateways().gateways().keySet());
    }
    return timedOut;
  }

  private void enter(Step next, long now) {
    step = next;
    stepStartedAt = now;
  }
}
