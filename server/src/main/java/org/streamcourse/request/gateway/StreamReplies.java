package org.streamcourse.request.gateway;

import org.streamcourse.connection.peer.PeerNetwork;
import org.streamcourse.request.StreamMessage.Broken;
import org.streamcourse.request.StreamMessage.Output;
import org.streamcourse.request.StreamMessage.Refusal;
import org.streamcourse.request.StreamMessage.Refused;
import org.streamcourse.request.StreamMessage.UnitDone;
import org.streamcourse.version.image.TermPosition;

/** What a gateway sends to the edge of one stream. */
final class StreamReplies {
  private final PeerNetwork network;
  private final String edge;
  private final long streamId;
  private int window;
  private int parts;
  private boolean silent;

  StreamReplies(PeerNetwork network, String edge, long streamId, int window) {
    this.network = network;
    this.edge = edge;
    this.streamId = streamId;
    this.window = window;
  }

  /** Sends nothing about refusals and breaks any more, since the edge has given the stream up. */
  void silence() {
    silent = true;
  }

  void output(byte[] messages) {
    parts++;
    network.send(edge, new Output(streamId, parts, messages));
    window -= messages.length;
  }

  void credit(int bytes) {
    window += bytes;
  }

  /** Whether the caller has not taken enough yet for more of the answer to be sent. */
  boolean isWindowFull() {
    return window <= 0;
  }

  void done(char status, TermPosition position, boolean committed, boolean staysOpen) {
    network.send(edge, new UnitDone(streamId, status, position, committed, staysOpen, parts));
  }

  void refused(Refusal refusal, TermPosition applied, long retryAfterMillis) {
    if (!silent) {
      network.send(edge, new Refused(streamId, refusal, applied, retryAfterMillis));
    }
  }

  void broken(String step, String detail) {
    if (!silent) {
      network.send(edge, new Broken(streamId, step, detail));
    }
  }
}
