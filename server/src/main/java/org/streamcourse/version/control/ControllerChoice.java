package org.streamcourse.version.control;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The controllers that a node knows, and the one to which it sends its heartbeats. Those that a
 * leader has named are tried first; seeds may be gone for long, and are tried when none of the
 * others has responded.
 *
 * <p>All methods run on the agent's worker.
 */
final class ControllerChoice {
  private static final String NONE = "";

  private List<String> seeds;
  private List<String> present = List.of();
  private String current;

  /** Number of controllers tried one after the other without a response. */
  private int unanswered;

  ControllerChoice(List<String> seeds) {
    this.seeds = List.copyOf(seeds);
    this.current = seeds.isEmpty() ? NONE : seeds.get(0);
  }

  /** Returns the name of the controller that is presumably the leader; empty if none is known. */
  String current() {
    return current;
  }

  /** Returns the names of all known controllers, those that a leader has named first. */
  List<String> all() {
    Set<String> all = new LinkedHashSet<>(present);
    all.addAll(seeds);
    return new ArrayList<>(all);
  }

  boolean contains(String name) {
    return present.contains(name) || seeds.contains(name);
  }

  void setSeeds(List<String> names) {
    seeds = List.copyOf(names);
    keepCurrent();
  }

  /** Sets the controllers that a leader has named. */
  void setPresent(List<String> names) {
    present = List.copyOf(names);
    keepCurrent();
  }

  private void keepCurrent() {
    List<String> all = all();
    if (!all.contains(current)) {
      current = all.isEmpty() ? NONE : all.get(0);
    }
  }

  /** Records that the current controller has responded. */
  void responded() {
    unanswered = 0;
  }

  /** Chooses the next controller, since the current one does not respond. */
  void next() {
    unanswered++;
    List<String> candidates = unanswered < present.size() ? present : all();
    if (!candidates.isEmpty()) {
      current = candidates.get((candidates.indexOf(current) + 1) % candidates.size());
    }
  }

  /**
   * Chooses the leader.
   *
   * @param name leader's name
   * @return whether another controller was chosen before
   */
  boolean choose(String name) {
    if (!contains(name)) {
      List<String> known = new ArrayList<>(present);
      known.add(name);
      present = List.copyOf(known);
    }
    boolean changed = !current.equals(name);
    current = name;
    return changed;
  }
}
