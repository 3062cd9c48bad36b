package org.streamcourse.lab.simulation;

import java.util.ArrayList;
import java.util.List;

/**
 * A link from one simulated process to another that was reset at least once. As with real links, a
 * peer is dialed when there is something to send, not again right after a dial, and what is sent
 * meanwhile waits for the dial's outcome.
 */
final class SimLink {
  private static final long REDIAL_MICROS = 100_000;

  private enum State {
    UP,
    DOWN,
    DIALING
  }

  /** A message that waits for the link. */
  record Waiting(Object message, Runnable delivery) {}

  private final List<Waiting> waiting = new ArrayList<>();
  private State state = State.UP;
  private int number;
  private long dialedMicros = -REDIAL_MICROS;

  /** Differs after each reset, so that what was on the way then can be told. */
  int number() {
    return number;
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

  /** The dial succeeded; returns what waited. */
  List<Waiting> open() {
    state = State.UP;
    return takeWaiting();
  }

  /** The link breaks, or is not opened; returns what waited. */
  List<Waiting> reset() {
    state = State.DOWN;
    number++;
    return takeWaiting();
  }

  private List<Waiting> takeWaiting() {
    List<Waiting> taken = List.copyOf(waiting);
    waiting.clear();
    return taken;
  }
}
