package org.streamcourse.connection.backend;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Round-robin queue of requests over shares, first in, first out within a share. A share with many
 * requests therefore delays another share by at most one request for each request of that share.
 *
 * @param <T> type of the waiting requests
 */
final class FairQueue<T> {
  /** Non-empty shares in the order in which they are served next. */
  private final Map<String, Deque<T>> shares = new LinkedHashMap<>();

  private int size;

  int size() {
    return size;
  }

  boolean isEmpty() {
    return size == 0;
  }

  void add(String share, T request) {
    shares.computeIfAbsent(share, any -> new ArrayDeque<>()).addLast(request);
    size++;
  }

  /** Removes and returns the next request; the queue must not be empty. */
  T poll() {
    Map.Entry<String, Deque<T>> turn = shares.entrySet().iterator().next();
    String share = turn.getKey();
    Deque<T> requests = shares.remove(share);
    T next = requests.pollFirst();
    size--;
    if (!requests.isEmpty()) {
      shares.put(share, requests);
    }
    return next;
  }

  /** Returns the number of requests that would be served before a new request of a share. */
  int aheadOf(String share) {
    int own = lengthOf(share);
    int ahead = own;
    for (Map.Entry<String, Deque<T>> other : shares.entrySet()) {
      ahead += other.getKey().equals(share) ? 0 : Math.min(other.getValue().size(), own + 1);
    }
    return ahead;
  }

  private int lengthOf(String share) {
    Deque<T> requests = shares.get(share);
    return requests == null ? 0 : requests.size();
  }

  /**
   * Removes and returns the newest request of the longest share, if that share has at least two
   * more requests than the given share.
   */
  Optional<T> pollOfLongerThan(String share) {
    String longest = share;
    for (String each : shares.keySet()) {
      longest = lengthOf(each) > lengthOf(longest) ? each : longest;
    }
    if (lengthOf(longest) <= lengthOf(share) + 1) {
      return Optional.empty();
    }
    size--;
    return Optional.of(shares.get(longest).pollLast());
  }

  /** Returns all requests, grouped by share. */
  List<T> all() {
    return shares.values().stream().flatMap(Deque::stream).toList();
  }

  void removeIf(Predicate<T> condition) {
    Iterator<Deque<T>> each = shares.values().iterator();
    while (each.hasNext()) {
      Deque<T> requests = each.next();
      requests.removeIf(condition);
      if (requests.isEmpty()) {
        each.remove();
      }
    }
    size = shares.values().stream().mapToInt(Deque::size).sum();
  }

  void clear() {
    shares.clear();
    size = 0;
  }
}
