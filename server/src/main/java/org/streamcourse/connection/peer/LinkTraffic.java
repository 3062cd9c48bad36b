package org.streamcourse.connection.peer;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;

/**
 * Counts the messages that a process writes to its peer links, and their bytes, by kind of message
 * and by the peer's distance. Bytes are counted as written to the socket: after compression, with
 * the frame's length field. Counting a message takes two additions and two look-ups in tables that
 * no longer change once each kind has been sent.
 */
public final class LinkTraffic {
  /** Messages and bytes of one kind sent to peers at one distance. */
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
     * Returns the kind of message.
     *
     * @return simple name of the message's type
     */
    public String kind() {
      return kind;
    }

    /**
     * Returns the distance of the receivers.
     *
     * @return distance of the receivers
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
     * Returns the bytes written for these messages.
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

  /** Creates the counters, all at zero. */
  public LinkTraffic() {
    for (PeerDistance distance : PeerDistance.values()) {
      counters.put(distance, new ConcurrentHashMap<>());
    }
  }

  /**
   * Sets the listener that is called with each new counter when its first message is sent, on the
   * sender's thread.
   *
   * @param consumer the listener
   */
  public void onNewCounter(Consumer<Counter> consumer) {
    listener = consumer;
  }

  /**
   * Returns the type under which a message is counted.
   *
   * @param message message to send
   * @return type of the message, or of the message that its envelope wraps
   */
  public static Class<?> kindOf(Object message) {
    return message instanceof Envelope envelope
        ? envelope.message().getClass()
        : message.getClass();
  }

  /**
   * Counts a sent message.
   *
   * @param kind type of the message, see {@link #kindOf}
   * @param distance distance of the receiver
   * @param bytes bytes written for the message
   */
  public void sent(Class<?> kind, PeerDistance distance, long bytes) {
    Map<Class<?>, Counter> byKind = counters.get(distance);
    Counter counter = byKind.get(kind);
    if (counter == null) {
      counter = byKind.computeIfAbsent(kind, any -> newCounter(kind, distance));
    }
    counter.add(bytes);
  }

  private Counter newCounter(Class<?> kind, PeerDistance distance) {
    Counter counter = new Counter(kind.getSimpleName(), distance);
    listener.accept(counter);
    return counter;
  }

  /**
   * Calls a consumer with each counter.
   *
   * @param consumer called once for each counter
   */
  public void forEach(Consumer<Counter> consumer) {
    counters.values().forEach(each -> each.values().forEach(consumer));
  }
}
