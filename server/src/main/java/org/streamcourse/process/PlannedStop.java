package org.streamcourse.process;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The steps of a proxy's planned stop, the same in the process and in the simulator.
 *
 * <p>First the callers' sessions end, each between two requests; those with a transaction that is
 * still open at the time limit end without it, after their running request. Then the node reports
 * to the controllers that it is draining, and its allowances move to other nodes once its gateways'
 * streams have ended. Finally the node lingers for as long as an edge may route by an older image,
 * and refuses requests that still arrive: an edge that receives "not run" retries at another node,
 * while an edge that only loses its link must report the outcome as unknown. Requests of callers
 * that still run then get an error before the process exits.
 */
public final class PlannedStop {
  private static final Logger LOG = LoggerFactory.getLogger(PlannedStop.class);

  /** Time between two calls of {@link #advance} in milliseconds. */
  public static final long POLL_MILLIS = 20;

  /** Time for which the last answers may take to reach the callers' connections. */
  private static final long TERMINATE_MILLIS = 500;

  /**
   * Time limit of each step in milliseconds.
   *
   * @param drainMillis limit for callers' open transactions to end
   * @param handoverMillis limit for moving the allowances to other nodes
   * @param lingerMillis time for edges to receive an image without this node
   */
  public record Limits(long drainMillis, long handoverMillis, long lingerMillis) {}

  /** The callers' sessions of the node. */
  public interface Sessions {
    /**
     * Returns whether all sessions have ended.
     *
     * @return true once none is left
     */
    boolean haveEnded();

    /** Ends all sessions, each at once or after its running request, without its transaction. */
    void end();

    /** Ends all sessions; a running request gets an error. */
    void terminate();
  }

  private enum Step {
    DRAIN,
    HANDOVER,
    LINGER,
    TERMINATE,
    DONE
  }

  private final ProxyNode node;
  private final Sessions sessions;
  private final Limits limits;
  private Step step = Step.DRAIN;
  private long stepStartedAt;

  /**
   * Begins a stop; the sessions must be draining already.
   *
   * @param node node to stop
   * @param sessions sessions of the node
   * @param limits time limits of the steps
   * @param now current time in milliseconds
   */
  public PlannedStop(ProxyNode node, Sessions sessions, Limits limits, long now) {
    this.node = node;
    this.sessions = sessions;
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
        if (sessions.haveEnded()) {
          leave(now);
        } else if (isTimedOut(elapsed, limits.drainMillis())) {
          sessions.end();
          leave(now);
        }
      }
      case HANDOVER -> {
        if (node.gateways().isDrained() || isTimedOut(elapsed, limits.handoverMillis())) {
          enter(Step.LINGER, now);
        }
      }
      case LINGER -> {
        if (elapsed >= limits.lingerMillis()) {
          sessions.terminate();
          enter(Step.TERMINATE, now);
        }
      }
      case TERMINATE -> {
        if (sessions.haveEnded() || elapsed >= TERMINATE_MILLIS) {
          enter(Step.DONE, now);
        }
      }
      case DONE -> {
        // The stop has finished.
      }
    }
    return step == Step.DONE;
  }

  private void leave(long now) {
    node.agent().leave();
    enter(Step.HANDOVER, now);
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
