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
 * Which nodes can tell whether a member lives: those that may have connections to it. The others
 * bring their statements to these, and see nothing of the member themselves.
 */
final class MemberObservers {
  private final Map<MemberId, Optional<Set<String>>> holders = new HashMap<>();
  private ClusterImage image = ClusterImage.EMPTY;
  private LinkShares shares = new LinkShares(ClusterImage.EMPTY);

  /** Takes the image in force; what was worked out is kept as long as it stays the same. */
  void use(ClusterImage present) {
    if (present.version() != image.version()) {
      image = present;
      shares = new LinkShares(present);
      holders.clear();
    }
  }

  /** Tells of a node's name whether the node can tell of a member. */
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
