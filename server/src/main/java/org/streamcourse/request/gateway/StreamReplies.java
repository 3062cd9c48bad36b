package org.streamcourse.request.gateway;

import org.streamcourse.connection.peer.PeerNetwork;
import org.streamcourse.request.StreamMessage.Broken;
import org.streamcourse.request.StreamMessage.Output;
import org.streamcourse.request.StreamMessage.Refusal;
import org.streamcourse.request.StreamMessage.Refused;
import org.streamcourse.request.StreamMessage.UnitDone;
import org.streamcourse.version.image.TermPosition;

/** Sends the replies of one stream to its edge, and tracks the stream's send window. */
final class StreamReplies {
  private final PeerNetwork network;
  private final String edge;
  private final long streamId;
  private int window;
  private int parts;
  private boolean failuresSuppressed;

  StreamReplies(PeerNetwork network, String edge, long streamId, int window) {
    this.network = network;
    this.edge = edge;
    this.streamId = streamId;
    this.window = window;
  }

  /** Suppresses refusals and breaks from now on; called when the edge has abandoned the stream. */
  void suppressFailures() {
    failuresSuppressed = true;
  }

  void output(byte[] messages) {
    parts++;
    network.send(edge, new Output(streamId, parts, messages));
    window -= messages.length;
  }

  void credit(int bytes) {
    window += bytes;
  }

  /** Whether no more of the answer may be sent until the caller has read some of it. */
  boolean isWindowFull() {
    return window <= 0;
  }

  void done(char status, TermPosition position, boolean committed, boolean staysOpen) {
    network.send(edge, new UnitDone(streamId, status, position, committed, staysOpen, parts));
  }

  void refused(Refusal refusal, TermPosition applied, long retryAfterMillis) {
    if (!failuresSuppressed) {
      network.send(edge, new Refused(streamId, refusal, applied, retryAfterMillis));
    }
  }

  void broken(String step, String detail) {
    if (!failuresSuppressed) {
      network.send(edge, new Broken(streamId, step, detail));
    }
  }
}
