package org.streamcourse.connection.backend;

import java.util.ArrayList;
import java.util.List;
import org.streamcourse.connection.wire.Backend;
import org.streamcourse.connection.wire.WireMessage;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** A simulated member; the test opens, answers and breaks its connections. */
public final class FakeMember {
  /** One connection, which records the statements sent on it. */
  public final class Session implements MemberSession {
    private final List<String> sent = new ArrayList<>();
    private Listener listener;
    private boolean closed;
    private boolean cancelled;
    private Runnable whenEnded = () -> {};

    @Override
    public void listen(Listener next) {
      listener = next;
    }

    @Override
    public void send(byte[] messages) {
      sent.add(new WireMessage(messages).body().text());
    }

    @Override
    public void pauseReading() {
      // Replies are too small for flow control.
    }

    @Override
    public void resumeReading() {
      // Replies are too small for flow control.
    }

    @Override
    public void cancel() {
      cancelled = true;
    }

    @Override
    public void end(Runnable ended) {
      closed = true;
      whenEnded = ended;
      if (endsAtOnce) {
        ended.run();
      }
    }

    /** Completes a requested close on the member's side. */
    public void finishEnd() {
      whenEnded.run();
    }

    /** Returns whether the code under test has requested to cancel the running statement. */
    public boolean isCancelled() {
      return cancelled;
    }

    @Override
    public void close() {
      closed = true;
    }

    /** Returns whether the code under test has closed the connection or requested its close. */
    public boolean isClosed() {
      return closed;
    }

    /** Returns the statements that arrived, in order. */
    public List<String> sent() {
      return sent;
    }

    /** Answers a statement with a command tag and a transaction status. */
    public void complete(String tag, char status) {
      listener.onMessage(new WireMessage(Backend.commandComplete(tag)));
      listener.onMessage(new WireMessage(Backend.ready(status)));
      listener.onReadComplete();
    }

    /** Answers a statement with one row of texts. */
    public void answerRow(List<String> row) {
      listener.onMessage(new WireMessage(Backend.textRow(row)));
      complete("SELECT 1", Backend.STATUS_IDLE);
    }

    /** Breaks the connection from the member's side. */
    public void breakOff() {
      listener.onClosed("connection reset");
    }
  }

  private final List<Session> sessions = new ArrayList<>();
  private final List<Sinks.One<MemberSession>> connecting = new ArrayList<>();
  private boolean opensAtOnce = true;
  private boolean endsAtOnce = true;

  /** Sets whether connections end at once or wait for {@link Session#finishEnd}. */
  public void setEndsAtOnce(boolean value) {
    endsAtOnce = value;
  }

  /** Sets whether connects succeed at once or wait for {@link #finishConnect}. */
  public void setOpensAtOnce(boolean value) {
    opensAtOnce = value;
  }

  /** Opens a connection. */
  public Mono<MemberSession> connect() {
    return Mono.defer(
        () -> {
          Sinks.One<MemberSession> sink = Sinks.one();
          if (opensAtOnce) {
            sink.tryEmitValue(opened());
          } else {
            connecting.add(sink);
          }
          return sink.asMono();
        });
  }

  private Session opened() {
    Session session = new Session();
    sessions.add(session);
    return session;
  }

  /** Completes the oldest pending connect. */
  public void finishConnect() {
    connecting.remove(0).tryEmitValue(opened());
  }

  /** Fails the oldest pending connect. */
  public void failConnect() {
    connecting.remove(0).tryEmitError(new IllegalStateException("connection refused"));
  }

  /** Returns the number of pending connects. */
  public int connecting() {
    return connecting.size();
  }

  /** Returns all connections opened so far. */
  public List<Session> sessions() {
    return sessions;
  }
}
