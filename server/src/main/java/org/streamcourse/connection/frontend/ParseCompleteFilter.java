package org.streamcourse.connection.frontend;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import org.streamcourse.connection.wire.Backend;

/** Removes ParseComplete messages for Parse messages that the proxy has added to a request. */
final class ParseCompleteFilter {
  private final Deque<Boolean> hidden = new ArrayDeque<>();
  private int hiddenLeft;

  void expect(Deque<Boolean> parses) {
    hidden.addAll(parses);
    hiddenLeft += (int) parses.stream().filter(each -> each).count();
  }

  void clear() {
    hidden.clear();
    hiddenLeft = 0;
  }

  byte[] apply(byte[] messages) {
    if (hiddenLeft == 0) {
      return messages;
    }
    ByteArrayOutputStream visible = new ByteArrayOutputStream(messages.length);
    ByteBuffer buffer = ByteBuffer.wrap(messages);
    int at = 0;
    while (at < messages.length) {
      int size = 1 + buffer.getInt(at + 1);
      if (!isHidden((char) messages[at])) {
        visible.write(messages, at, size);
      }
      at += size;
    }
    return visible.toByteArray();
  }

  private boolean isHidden(char type) {
    if (type != Backend.PARSE_COMPLETE || hidden.isEmpty()) {
      return false;
    }
    boolean hide = hidden.poll();
    if (hide) {
      hiddenLeft--;
    }
    return hide;
  }
}
