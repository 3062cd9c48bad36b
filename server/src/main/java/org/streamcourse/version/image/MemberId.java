package org.streamcourse.version.image;

/**
 * Identity of one incarnation of a member that registers itself. Another member may reuse its
 * address; the identity is never reused.
 *
 * @param value identity that the member sends
 */
public record MemberId(String value) implements Comparable<MemberId> {
  /** No member. */
  public static final MemberId NONE = new MemberId("");

  /**
   * Returns whether this identifies a member.
   *
   * @return false for {@link #NONE}
   */
  public boolean isPresent() {
    return !value.isEmpty();
  }

  @Override
  public int compareTo(MemberId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
