package org.streamcourse.request.edge;

import org.streamcourse.process.StreamcourseException;
import org.streamcourse.version.image.TermPosition;

/** Receives the answer of a request; called on the session's worker. */
public interface RequestListener {
  /**
   * Receives a part of the answer.
   *
   * @param messages one or more complete protocol messages
   */
  void output(byte[] messages);

  /**
   * Called when the answer is complete except for ReadyForQuery.
   *
   * @param status transaction status
   * @param position log position of the commit, or the position that a read observed
   * @param committed whether a write was committed and acknowledged
   * @param open whether the stream stays open for the transaction
   */
  void done(char status, TermPosition position, boolean committed, boolean open);

  /**
   * Called when the request has failed; its stream is closed.
   *
   * @param error error to send to the caller
   */
  void failed(StreamcourseException error);
}
