package org.streamcourse.version.control;

import org.streamcourse.version.image.TermPosition;

/**
 * Status that a member reports.
 *
 * @param term newest term that the member knows
 * @param role its role in that term
 * @param upstream name of the member whose log it receives, empty when it is not a replica
 * @param received end of the log that the member has synced to disk
 * @param matched end of the part known to match the primary of its term; only this counts towards
 *     the acknowledgment of a commit
 * @param applied position of the last record that is visible to reads
 */
public record MemberStatus(
    long term,
    MemberRole role,
    String upstream,
    TermPosition received,
    TermPosition matched,
    TermPosition applied) {
  /** Status before a member has reported one. */
  public static final MemberStatus UNKNOWN =
      new MemberStatus(
          0, MemberRole.FENCED, "", TermPosition.ZERO, TermPosition.ZERO, TermPosition.ZERO);
}
