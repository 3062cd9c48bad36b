package org.streamcourse.version.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.streamcourse.version.image.ClusterImage;
import org.streamcourse.version.image.LinkShares;
import org.streamcourse.version.image.MemberId;
import org.streamcourse.version.image.ServiceImage;

/**
 * Determines which nodes can observe whether a member is reachable: those that may have connections
 * to it. All other nodes send their statements through these and do not observe the member.
 */
final class MemberObservers {
  private final Map<MemberId, Optional<Set<String>>> holders = new HashMap<>();
  private ClusterImage image = ClusterImage.EMPTY;
  private LinkShares shares = new LinkShares(ClusterImage.EMPTY);

  /** Sets the image in force; results are cached until its version changes. */
  void setImage(ClusterImage present) {
    if (present.version() != image.version()) {
      image = present;
      shares = new LinkShares(present);
      holders.clear();
    }
  }

  /** Returns a test of node names for the nodes that observe a member. */
  Predicate<String> of(ServiceImage service, MemberId id) {
    Optional<Set<String>> few =
        holders.computeIfAbsent(
            id,
            any ->
                service
                    .member(id)
                    .flatMap(member -> shares.designatedHolders(service.name(), member)));
    return node -> few.isEmpty() || few.get().contains(node);
  }
}
