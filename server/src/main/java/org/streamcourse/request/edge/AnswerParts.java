package org.streamcourse.request.edge;

import org.streamcourse.request.StreamMessage;
import org.streamcourse.request.StreamMessage.Output;
import org.streamcourse.request.StreamMessage.UnitDone;

/**
 * Detects gaps in the numbered answer parts of one stream. A part may be lost when a peer link
 * breaks, while the parts after it arrive over the next peer link.
 */
final class AnswerParts {
  private int received;

  /** Resets the count for a new stream. */
  void reset() {
    received = 0;
  }

  /** Counts a message of the stream; returns whether a part before it is missing. */
  boolean isGapBefore(StreamMessage message) {
    if (message instanceof Output output) {
      received++;
      return output.number() != received;
    }
    return message instanceof UnitDone done && done.parts() != received;
  }
}
