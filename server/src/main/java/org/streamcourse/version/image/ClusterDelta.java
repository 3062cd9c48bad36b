package org.streamcourse.version.image;

import java.util.ArrayList;
import java.util.List;

/**
 * The changes from one version to a later one.
 *
 * @param fromVersion version to which the first change applies
 * @param changes changes in order, one for each version
 */
public record ClusterDelta(long fromVersion, List<ClusterChange> changes) {
  /**
   * Removes content that only controllers need.
   *
   * @return delta for nodes
   */
  public ClusterDelta forNodes() {
    List<ClusterChange> lean = new ArrayList<>();
    for (ClusterChange change : changes) {
      lean.add(
          change instanceof ClusterChange.DocumentReplaced replaced
              ? new ClusterChange.DocumentReplaced(replaced.document().withoutSource())
              : change);
    }
    return new ClusterDelta(fromVersion, lean);
  }
}
