package org.streamcourse.request.edge;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicLong;
import org.streamcourse.version.image.ClusterImage;

/**
 * Requests that pause because no member accepts them at present. A change of their group's image
 * wakes them at once, so the pauses between attempts can grow: with short fixed pauses, thousands
 * of sessions of one group would send attempts to its gateways repeatedly while the group changes
 * its primary. Thread-safe.
 */
final class WaitingRequests {
  /**
   * Wake-up tasks by group, and within a group in the order in which the requests began to wait.
   */
  private final Map<String, Map<Long, Runnable>> byGroup = new ConcurrentHashMap<>();

  private final AtomicLong tickets = new AtomicLong();
  private ClusterImage image = ClusterImage.EMPTY;

  /**
   * Adds a request.
   *
   * @param group group of the request
   * @param wake runs at each change of the group, on the thread that delivers the image
   * @return ticket for {@link #remove}
   */
  long add(String group, Runnable wake) {
    long ticket = tickets.incrementAndGet();
    byGroup.computeIfAbsent(group, any -> new ConcurrentSkipListMap<>()).put(ticket, wake);
    return ticket;
  }

  void remove(String group, long ticket) {
    byGroup.getOrDefault(group, Map.of()).remove(ticket);
  }

  /** Wakes the requests of the groups that changed; called for one image at a time. */
  void imageChanged(ClusterImage next) {
    ClusterImage previous = image;
    image = next;
    byGroup.forEach(
        (group, waiting) -> {
          if (previous.groups().get(group) != next.groups().get(group)) {
            waiting.values().forEach(Runnable::run);
          }
        });
  }
}
