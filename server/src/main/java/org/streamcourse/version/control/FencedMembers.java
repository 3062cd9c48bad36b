package org.streamcourse.version.control;

import java.util.Comparator;
import java.util.Map;
import java.util.TreeMap;
import org.streamcourse.version.image.GroupImage;
import org.streamcourse.version.image.MemberImage;
import org.streamcourse.version.image.TermPosition;

/**
 * Members of a group that confirmed a fence at one term, with the ends of their logs. A fenced
 * member accepts no more records of older terms, so the reported end of its log does not change.
 */
final class FencedMembers {
  private final long term;
  private final Map<String, TermPosition> ends = new TreeMap<>();
  private long majorityAtMillis;

  FencedMembers(long term) {
    this.term = term;
  }

  long term() {
    return term;
  }

  void add(GroupImage image, String member, TermPosition end, long now) {
    if (!isMajority(image)) {
      majorityAtMillis = now;
    }
    ends.put(member, end);
  }

  boolean contains(String member) {
    return ends.containsKey(member);
  }

  boolean isMajority(GroupImage image) {
    return ends.size() >= image.majority();
  }

  boolean isComplete(GroupImage image) {
    return ends.size() == image.members().size();
  }

  /** Time in milliseconds at which the fenced members became a majority. */
  long majorityAtMillis() {
    return majorityAtMillis;
  }

  /**
   * Returns the member to choose among those whose log ends latest. No other member may be chosen,
   * since only these logs certainly contain every acknowledged commit.
   *
   * @param preferred member that is chosen if it is among them; otherwise a member that is not
   *     draining comes first
   */
  String best(GroupImage image, String preferred) {
    TermPosition latest = ends.values().stream().max(Comparator.naturalOrder()).orElseThrow();
    return ends.entrySet().stream()
        .filter(each -> each.getValue().equals(latest))
        .map(Map.Entry::getKey)
        .min(
            Comparator.comparing((String each) -> !each.equals(preferred))
                .thenComparing(each -> isDraining(image, each)))
        .orElseThrow();
  }

  static boolean isDraining(GroupImage image, String member) {
    return image.member(member).map(MemberImage::draining).orElse(false);
  }

  @Override
  public String toString() {
    return ends.toString();
  }
}
