package org.streamcourse.version.image;

import java.util.Comparator;

/**
 * A position in the log of a database group or service: the term in which a record was written, and
 * its offset. Ordered by term, then offset. A member whose log reaches a position has every
 * acknowledged record at or before it.
 *
 * @param term term of the record
 * @param position offset of the record, from 1; 0 before the first record
 */
public record TermPosition(long term, long position) implements Comparable<TermPosition> {
  /** Position before the first record. */
  public static final TermPosition ZERO = new TermPosition(0, 0);

  private static final Comparator<TermPosition> ORDER =
      Comparator.comparingLong(TermPosition::term).thenComparingLong(TermPosition::position);
  private static final char SEPARATOR = ':';

  /**
   * Parses {@code term:position}.
   *
   * @param text what {@link #toString()} returned
   * @return log position
   * @throws NumberFormatException when the text has another form
   */
  public static TermPosition parse(String text) {
    int separator = text.indexOf(SEPARATOR);
    if (separator < 0) {
      throw new NumberFormatException("no '" + SEPARATOR + "' in '" + text + "'");
    }
    return new TermPosition(
        Long.parseLong(text.substring(0, separator)),
        Long.parseLong(text.substring(separator + 1)));
  }

  @Override
  public int compareTo(TermPosition other) {
    return ORDER.compare(this, other);
  }

  /**
   * Returns whether a log that ends at this position includes another position.
   *
   * @param floor position that must be included
   * @return true when this position is at or after the floor
   */
  public boolean reaches(TermPosition floor) {
    return compareTo(floor) >= 0;
  }

  /**
   * Returns the later of two positions.
   *
   * @param other another position
   * @return the later position
   */
  public TermPosition max(TermPosition other) {
    return compareTo(other) >= 0 ? this : other;
  }

  @Override
  public String toString() {
    return term + String.valueOf(SEPARATOR) + position;
  }
}
