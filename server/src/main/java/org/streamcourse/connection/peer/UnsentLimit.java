package org.streamcourse.connection.peer;

import java.util.Collection;
import java.util.function.ToLongFunction;

/**
 * Limits the bytes that wait on all links of a process together, so that many peers that do not
 * read cannot use up its memory. When the limit is exceeded, the links are full that have more
 * waiting bytes than the average of all links.
 *
 * @param <L> type of the links
 */
final class UnsentLimit<L> {
  private final long limitBytes;
  private final Collection<L> links;
  private final ToLongFunction<L> unsentBytes;

  /**
   * Creates a limit.
   *
   * @param limitBytes maximum of all waiting bytes
   * @param links all links; the collection may change
   * @param unsentBytes returns the waiting bytes of a link, on any thread
   */
  UnsentLimit(long limitBytes, Collection<L> links, ToLongFunction<L> unsentBytes) {
    this.limitBytes = limitBytes;
    this.links = links;
    this.unsentBytes = unsentBytes;
  }

  /** Returns whether a link may not take more messages. */
  boolean isFull(L link) {
    long own = unsentBytes.applyAsLong(link);
    // Without this check each message would cost a look at all links.
    if (own * Math.max(1, links.size()) <= limitBytes) {
      return false;
    }
    long all = total();
    return all > limitBytes && own * links.size() >= all;
  }

  /** Returns the bytes that wait on all links. */
  long total() {
    return links.stream().mapToLong(unsentBytes).sum();
  }
}
