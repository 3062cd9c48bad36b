package org.streamcourse.connection.peer;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;

/**
 * Counts what a process writes to its links, by kind of message and by the peer's distance: bytes
 * as they go into the socket, after compression, with the frame's length. A count costs two
 * additions and two look-ups in tables that no longer change once each kind was sent.
 */
public final class LinkTraffic {
  /** What was sent of one kind to one distance. */
  public static final class Counter {
    private final String kind;
    private final PeerDistance distance;
    private final LongAdder messages = new LongAdder();
    private final LongAdder bytes = new LongAdder();

    private Counter(String kind, PeerDistance distance) {
      this.kind = kind;
      this.distance = distance;
    }

    /**
     * Returns the kind.
     *
     * @return simple name of the message's type
     */
    public String kind() {
      return kind;
    }

    /**
     * Returns where it went.
     *
     * @return distance of the peers
     */
    public PeerDistance distance() {
      return distance;
    }

    /**
     * Returns the number of messages.
     *
     * @return messages since the start
     */
    public long messages() {
      return messages.sum();
    }

    /**
     * Returns the bytes written for them.
     *
     * @return bytes since the start
     */
    public long bytes() {
      return bytes.sum();
    }

    private void add(long sentBytes) {
      messages.increment();
      bytes.add(sentBytes);
    }
  }

  private final Map<PeerDistance, Map<Class<?>, Counter>> counters =
      new EnumMap<>(PeerDistance.class);
  private volatile Consumer<Counter> listener = counter -> {};

  /** Creates counters that stand at zero. */
  public LinkTraffic() {
    for (PeerDistance distance : PeerDistance.values()) {
      counters.put(distance, new ConcurrentHashMap<>());
    }
  }

  /**
   * Sets who hears of each counter when its first message is sent, on the sender's thread.
   *
   * @param consumer the listener
   */
  public void onNewCounter(Consumer<Counter> consumer) {
    listener = consumer;
  }

  /**
   * Returns the type by which a message is counted.
   *
   * @param message what is sent
   * @return its type, or that of what it carries
   */
  public static Class<?> kindOf(Object message) {
    return message instanceof Envelope envelope
        ? envelope.message().getClass()
        : message.getClass();
  }

  /**
   * Counts a message.
   *
   * @param kind type of the message, see {@link #kindOf}
   * @param distance how far its receiver stands
   * @param bytes what is written for it
   */
  public void sent(Class<?> kind, PeerDistance distance, long bytes) {
    Map<Class<?>, Counter> ofDistance = counters.get(distance);
    Counter counter = ofDistance.get(kind);
    if (counter == null) {
      counter = ofDistance.computeIfAbsent(kind, any -> newCounter(kind, distance));
    }
    counter.add(bytes);
  }

  private Counter newCounter(Class<?> kind, PeerDistance distance) {
    Counter counter = new Counter(kind.getSimpleName(), distance);
    listener.accept(counter);
    return counter;
  }

  /**
   * Passes on all counters.
   *
   * @param consumer gets each of them
   */
  public void forEach(Consumer<Counter> consumer) {
    counters.values().forEach(each -> each.values().forEach(consumer));
  }
}
