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
   * Returns the version that the last change leads to.
   *
   * @return image version
   */
  public long toVersion() {
    return fromVersion + changes.size();
  }

  /**
   * Returns the changes that an image lacks.
   *
   * @param version version of the image
   * @return changes from that version on; none if changes before them are missing too
   */
  public ClusterDelta after(long version) {
    if (version == fromVersion) {
      return this;
    }
    List<ClusterChange> missing = new ArrayList<>();
    if (version > fromVersion && version < toVersion()) {
      missing.addAll(changes.subList((int) (version - fromVersion), changes.size()));
    }
    return new ClusterDelta(version, missing);
  }

  /**
   * Removes content that only controllers need.
   *
   * @return delta for nodes
   */
  public ClusterDelta forNodes() {
    List<ClusterChange> lean = new ArrayList<>();
    for (ClusterChange change : changes) {
      lean.add(withoutSource(change));
    }
    return new ClusterDelta(fromVersion, lean);
  }

  private static ClusterChange withoutSource(ClusterChange change) {
    if (change instanceof ClusterChange.DocumentReplaced replaced) {
      return new ClusterChange.DocumentReplaced(replaced.document().withoutSource());
    }
    if (change instanceof ClusterChange.DocumentEdited edited) {
      return new ClusterChange.DocumentEdited(edited.edit().withoutSource());
    }
    return change;
  }

  /**
   * Returns the number of entries that the changes contain: nodes, members, groups or rules.
   *
   * @return number of entries, at least one for each change
   */
  public long size() {
    long entries = 0;
    for (ClusterChange change : changes) {
      entries += 1;
      if (change instanceof ClusterChange.DocumentReplaced replaced) {
        entries += replaced.document().routes().size();
      } else if (change instanceof ClusterChange.DocumentEdited edited) {
        entries += edited.edit().size();
      }
    }
    return entries;
  }
}
