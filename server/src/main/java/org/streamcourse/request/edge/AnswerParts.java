package org.streamcourse.request.edge;

import org.streamcourse.request.StreamMessage;
import org.streamcourse.request.StreamMessage.Output;
import org.streamcourse.request.StreamMessage.UnitDone;

/**
 * Counts the parts of the answers on one stream. A part may be lost with a link, and what follows
 * it may come on the next link.
 */
final class AnswerParts {
  private int seen;

  /** The next stream begins. */
  void begin() {
    seen = 0;
  }

  /** Takes in a message of the stream; returns whether a part before it has not come. */
  boolean missOneBefore(StreamMessage message) {
    if (message instanceof Output output) {
      seen++;
      return output.number() != seen;
    }
    return message instanceof UnitDone done && done.parts() != seen;
  }
}
