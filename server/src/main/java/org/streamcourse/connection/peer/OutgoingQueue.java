package org.streamcourse.connection.peer;

import java.util.ArrayList;
import java.util.List;

/** Messages that wait until a link is open. Guarded by the lock of its link, except its size. */
final class OutgoingQueue {
  private static final int MAX_MESSAGES = 1_024;

  private final List<OutgoingMessage> messages = new ArrayList<>();
  private volatile long bytes;

  boolean isFull() {
    return messages.size() >= MAX_MESSAGES;
  }

  void add(OutgoingMessage message) {
    messages.add(message);
    bytes += message.bytes().length;
  }

  /** Removes and returns all messages, in the order in which they were added. */
  List<OutgoingMessage> takeAll() {
    List<OutgoingMessage> taken = List.copyOf(messages);
    messages.clear();
    bytes = 0;
    return taken;
  }

  /** Returns the length of all messages; may be called on any thread. */
  long bytes() {
    return bytes;
  }
}
