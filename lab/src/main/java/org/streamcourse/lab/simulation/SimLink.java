package org.streamcourse.lab.simulation;

import java.util.ArrayList;
import java.util.List;

/**
 * A link from one simulated process to another that was reset at least once. As with real links,
 * the peer is dialed when there is a message to send, but not again within the redial interval, and
 * messages sent during a dial wait for its outcome.
 */
final class SimLink {
  private static final long REDIAL_MICROS = 100_000;

  private enum State {
    UP,
    DOWN,
    DIALING
  }

  /** A message that waits for the link to open. */
  record Waiting(Object message, Runnable delivery) {}

  private final List<Waiting> waiting = new ArrayList<>();
  private State state = State.UP;
  private int resets;
  private long dialedMicros = -REDIAL_MICROS;

  /** Returns the number of resets so far, which identifies messages sent before the last one. */
  int resets() {
    return resets;
  }

  boolean isUp() {
    return state == State.UP;
  }

  boolean isDialing() {
    return state == State.DIALING;
  }

  boolean mayDial(long nowMicros) {
    return nowMicros - dialedMicros >= REDIAL_MICROS;
  }

  void dial(long nowMicros) {
    state = State.DIALING;
    dialedMicros = nowMicros;
  }

  void add(Waiting message) {
    waiting.add(message);
  }

  /** Opens the link after a successful dial; returns the waiting messages. */
  List<Waiting> open() {
    state = State.UP;
    return takeWaiting();
  }

  /** Resets the link or its pending dial; returns the waiting messages. */
  List<Waiting> reset() {
    state = State.DOWN;
    resets++;
    return takeWaiting();
  }

  private List<Waiting> takeWaiting() {
    List<Waiting> taken = List.copyOf(waiting);
    waiting.clear();
    return taken;
  }
}
