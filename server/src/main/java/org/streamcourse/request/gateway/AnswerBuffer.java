package org.streamcourse.request.gateway;

import java.io.ByteArrayOutputStream;
import org.streamcourse.connection.wire.Backend;
import org.streamcourse.connection.wire.WireMessage;

/**
 * Messages of a unit's answer that have not been sent to the edge yet.
 *
 * <p>Two kinds of messages are held back. The preamble (completions of Parse and Bind, and
 * descriptions) is held until the first message which shows that a statement ran, so that a unit
 * which the member refuses can still run at another member. From the first CommandComplete of a
 * unit that may commit, all messages are held until the commit is acknowledged.
 */
final class AnswerBuffer {
  private final ByteArrayOutputStream released = new ByteArrayOutputStream();
  private final ByteArrayOutputStream held = new ByteArrayOutputStream();
  private boolean holdsCommits;
  private boolean holding;
  private boolean onlyPreamble;

  void start(boolean mayCommit) {
    released.reset();
    held.reset();
    holdsCommits = mayCommit;
    holding = false;
    onlyPreamble = true;
  }

  void add(WireMessage message) {
    onlyPreamble &= isPreamble(message.type());
    holding |= holdsCommits && message.type() == Backend.COMMAND_COMPLETE;
    (holding ? held : released).writeBytes(message.bytes());
  }

  private static boolean isPreamble(char type) {
    return switch (type) {
      case Backend.PARSE_COMPLETE,
          Backend.BIND_COMPLETE,
          Backend.CLOSE_COMPLETE,
          Backend.NO_DATA,
          Backend.PARAMETER_DESCRIPTION,
          Backend.ROW_DESCRIPTION ->
          true;
      default -> false;
    };
  }

  boolean isOnlyPreamble() {
    return onlyPreamble;
  }

  boolean isEmpty() {
    return released.size() == 0 && held.size() == 0;
  }

  int heldBytes() {
    return held.size();
  }

  /** Takes the messages that may be sent to the edge while the unit runs. */
  byte[] takeReleased(boolean keepPreamble) {
    if (onlyPreamble && keepPreamble) {
      return new byte[0];
    }
    byte[] bytes = released.toByteArray();
    released.reset();
    return bytes;
  }

  /** Takes all messages, held ones included; called once the unit has ended. */
  byte[] takeAll() {
    released.writeBytes(held.toByteArray());
    held.reset();
    byte[] bytes = released.toByteArray();
    released.reset();
    return bytes;
  }
}
