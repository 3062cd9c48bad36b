package org.streamcourse.process;

/**
 * The steps of a statement proxy's planned stop.
 *
 * <p>The node first reports that it is not ready and serves on until the platform sends it no more
 * callers. Then each session ends as soon as it is idle. After half of the grace period statements
 * are refused, so that an open transaction can only end; a running statement still gets its answer.
 * Before the process exits, with some of the grace period left, it answers whatever is outstanding.
 *
 * <p>All methods run on the proxy's worker.
 */
public final class StatementProxyStop {
  /** Time between two calls of {@link #advance} in milliseconds. */
  public static final long POLL_MILLIS = 50;

  /** Time until the platform stops sending callers to a node that reports not being ready. */
  private static final long READINESS_LAG_MILLIS = 2_300;

  /** Fraction of the grace period reserved for the exit of the process. */
  private static final double EXIT_RESERVE = 0.15;

  private enum Step {
    NOT_READY,
    DRAIN,
    REFUSE,
    DONE
  }

  private final StatementProxyNode node;
  private final long startedMillis;
  private final long drainMillis;
  private final long refuseMillis;
  private final long exitMillis;
  private Step step = Step.NOT_READY;

  /**
   * Begins a stop.
   *
   * @param node node to stop
   * @param graceMillis time after which the platform kills the process
   */
  public StatementProxyStop(StatementProxyNode node, long graceMillis) {
    this.node = node;
    this.startedMillis = node.worker().now();
    this.drainMillis = Math.min(READINESS_LAG_MILLIS, graceMillis / 2);
    this.refuseMillis = graceMillis / 2;
    this.exitMillis = Math.round(graceMillis * (1 - EXIT_RESERVE));
    node.beginStop();
  }

  /**
   * Advances to the next steps if they are due.
   *
   * @return true once the process may exit
   */
  public boolean advance() {
    long elapsed = node.worker().now() - startedMillis;
    if (step == Step.NOT_READY && elapsed >= drainMillis) {
      node.drainSessions();
      step = Step.DRAIN;
    }
    if (step == Step.DRAIN && elapsed >= refuseMillis) {
      node.refuseStatements(startedMillis + exitMillis);
      step = Step.REFUSE;
    }
    boolean draining = step == Step.DRAIN || step == Step.REFUSE;
    boolean idle = node.openSessions() + node.relayedStreams() == 0;
    if (draining && (idle || elapsed >= exitMillis)) {
      node.terminate();
      step = Step.DONE;
    }
    return step == Step.DONE;
  }
}
