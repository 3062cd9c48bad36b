package org.streamcourse.version.image;

import java.util.ArrayList;
import java.util.List;

/**
 * The difference between two texts, by parts that end with a closing brace. In a JSON document an
 * element of a list is such a part.
 *
 * @param steps three numbers for each step: first character to copy from the first text, number of
 *     characters to copy, and number of characters to take from {@code added}
 * @param added characters that the first text does not have, in order
 */
public record TextEdit(int[] steps, String added) {
  /** Makes an empty text. */
  public static final TextEdit EMPTY = new TextEdit(new int[0], "");

  private static final int STEP_LENGTH = 3;
  private static final char PART_END = '}';

  /** Longest part, so that a text without braces is compared by parts too. */
  private static final int MAX_PART_LENGTH = 1_024;

  /**
   * Computes the difference between two texts.
   *
   * @param base first text
   * @param target second text
   * @return edit that makes the second text from the first one
   */
  public static TextEdit between(String base, String target) {
    List<String> baseParts = parts(base);
    ListEdit<String> edit = ListEdit.between(baseParts, parts(target));
    int[] starts = starts(baseParts);
    int[] steps = new int[edit.steps().length];
    int taken = 0;
    for (int i = 0; i < steps.length; i += STEP_LENGTH) {
      int from = edit.steps()[i];
      int until = from + edit.steps()[i + 1];
      steps[i] = starts[from];
      steps[i + 1] = starts[until] - starts[from];
      for (int part = 0; part < edit.steps()[i + 2]; part++) {
        steps[i + 2] += edit.added().get(taken).length();
        taken++;
      }
    }
    return new TextEdit(steps, String.join("", edit.added()));
  }

  private static List<String> parts(String text) {
    List<String> parts = new ArrayList<>();
    int start = 0;
    while (start < text.length()) {
      int brace = text.indexOf(PART_END, start);
      int end = Math.min(brace < 0 ? text.length() : brace + 1, start + MAX_PART_LENGTH);
      parts.add(text.substring(start, end));
      start = end;
    }
    return parts;
  }

  private static int[] starts(List<String> parts) {
    int[] starts = new int[parts.size() + 1];
    for (int i = 0; i < parts.size(); i++) {
      starts[i + 1] = starts[i] + parts.get(i).length();
    }
    return starts;
  }

  /**
   * Makes the second text.
   *
   * @param base first text
   * @return second text
   */
  public String apply(String base) {
    StringBuilder result = new StringBuilder();
    int taken = 0;
    for (int i = 0; i < steps.length; i += STEP_LENGTH) {
      result.append(base, steps[i], steps[i] + steps[i + 1]);
      result.append(added, taken, taken + steps[i + 2]);
      taken += steps[i + 2];
    }
    return result.toString();
  }
}
