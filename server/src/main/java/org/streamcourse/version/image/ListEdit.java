package org.streamcourse.version.image;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/**
 * The difference between two lists. Each step copies a run of elements of the first list and then
 * adds new ones, so elements that did not change are the same objects in both lists.
 *
 * @param <T> type of the elements
 * @param steps three numbers for each step: first element to copy, number of elements to copy, and
 *     number of elements to take from {@code added}
 * @param added elements that the first list does not have, in order
 */
public record ListEdit<T>(int[] steps, List<T> added) {
  private static final int STEP_LENGTH = 3;

  /**
   * Computes the difference between two lists.
   *
   * @param <T> type of the elements
   * @param base first list
   * @param target second list
   * @return edit that makes the second list from the first one
   */
  public static <T> ListEdit<T> between(List<T> base, List<T> target) {
    Map<T, Integer> positions = new HashMap<>();
    for (int i = base.size() - 1; i >= 0; i--) {
      positions.put(base.get(i), i);
    }
    IntStream.Builder steps = IntStream.builder();
    List<T> added = new ArrayList<>();
    int at = 0;
    while (at < target.size()) {
      Integer first = positions.get(target.get(at));
      int from = first == null ? 0 : first;
      int copied = first == null ? 0 : commonLength(base, from, target, at);
      at += copied;
      int firstAdded = at;
      while (at < target.size() && !positions.containsKey(target.get(at))) {
        added.add(target.get(at));
        at++;
      }
      steps.add(from).add(copied).add(at - firstAdded);
    }
    return new ListEdit<>(steps.build().toArray(), added);
  }

  private static <T> int commonLength(List<T> base, int from, List<T> target, int at) {
    int length = 0;
    while (from + length < base.size()
        && at + length < target.size()
        && base.get(from + length).equals(target.get(at + length))) {
      length++;
    }
    return length;
  }

  /**
   * Makes the second list.
   *
   * @param base first list
   * @return second list
   */
  public List<T> apply(List<T> base) {
    List<T> result = new ArrayList<>();
    int taken = 0;
    for (int i = 0; i < steps.length; i += STEP_LENGTH) {
      result.addAll(base.subList(steps[i], steps[i] + steps[i + 1]));
      result.addAll(added.subList(taken, taken + steps[i + 2]));
      taken += steps[i + 2];
    }
    return result;
  }
}
