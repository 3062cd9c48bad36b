package org.streamcourse.connection.frontend;

import io.netty.handler.codec.TooLongFrameException;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamcourse.connection.wire.Backend;
import org.streamcourse.connection.wire.Frontend;
import org.streamcourse.connection.wire.WireChannel;
import org.streamcourse.connection.wire.WireHandler;
import org.streamcourse.connection.wire.WireMessage;
import org.streamcourse.process.ErrorCode;
import org.streamcourse.process.StreamcourseException;
import org.streamcourse.process.Worker;
import reactor.core.Disposable;

/**
 * Protocol states of a caller's connection: startup, authentication with SCRAM-SHA-256, then the
 * session. Runs on the connection's event loop until the session begins.
 */
public final class FrontendConnection implements WireHandler {
  /** Opens sessions for authenticated callers. */
  public interface SessionFactory {
    /**
     * Returns whether a database exists.
     *
     * @param database name of the startup message
     * @return true if it exists
     */
    boolean databaseExists(String database);

    /**
     * Opens a session.
     *
     * @param channel caller's connection
     * @param database database of the startup message
     * @param user name with which the caller has logged in
     * @param options session parameters of the startup message
     * @return session
     */
    CallerSession open(
        CallerChannel channel, String database, String user, Map<String, String> options);
  }

  /** The session of an authenticated caller. */
  public interface CallerSession {
    /**
     * Receives a message.
     *
     * @param message the message
     */
    void receive(WireMessage message);

    /** The caller's connection is closed. */
    void channelClosed();

    /** Cancels the running request. */
    void cancel();
  }

  private enum State {
    STARTUP,
    MECHANISM,
    PROOF,
    SESSION,
    CLOSED
  }

  private static final Logger LOG = LoggerFactory.getLogger(FrontendConnection.class);
  private static final String SERVER_VERSION = "15.0";
  private static final int SASL_MECHANISMS = 10;
  private static final int SASL_CONTINUE = 11;
  private static final int SASL_FINAL = 12;
  private static final int STARTUP_LENGTH_BYTES = Integer.BYTES;

  private final WireChannel channel;
  private final FrontendSettings settings;
  private final SessionFactory sessions;
  private final CancelKeys cancelKeys;
  private final Disposable loginTimer;
  private State state = State.STARTUP;
  private Map<String, String> startup = new TreeMap<>();
  private ScramExchange scram;
  private CallerSession session;
  private CancelKeys.Key cancelKey;

  /**
   * Takes over an accepted connection.
   *
   * @param channel the connection
   * @param worker runs the login timeout
   * @param settings settings of callers' connections
   * @param sessions opens sessions
   * @param cancelKeys cancel keys of this node's sessions
   */
  public FrontendConnection(
      WireChannel channel,
      Worker worker,
      FrontendSettings settings,
      SessionFactory sessions,
      CancelKeys cancelKeys) {
    this.channel = channel;
    this.settings = settings;
    this.sessions = sessions;
    this.cancelKeys = cancelKeys;
    this.loginTimer = worker.schedule(settings.loginTimeoutMillis(), channel::close);
    channel.open(this);
  }

  @Override
  public void onMessage(WireMessage message) {
    try {
      switch (state) {
        case STARTUP -> onStartup(message);
        case MECHANISM -> onClientFirst(message);
        case PROOF -> onClientFinal(message);
        case SESSION -> session.receive(message);
        case CLOSED -> {
          // Messages after a fatal error are ignored.
        }
      }
    } catch (StreamcourseException e) {
      refuse(e);
    }
  }

  private void refuse(StreamcourseException error) {
    LOG.info("connection of caller {} refused: {}", channel.remote(), error.toString());
    state = State.CLOSED;
    channel.send(ErrorResponses.of("FATAL", error));
    channel.close();
  }

  private void onStartup(WireMessage message) {
    byte[] bytes = message.bytes();
    java.nio.ByteBuffer buffer = java.nio.ByteBuffer.wrap(bytes);
    buffer.position(STARTUP_LENGTH_BYTES);
    WireMessage.Reader body = new WireMessage.Reader(buffer);
    int code = body.int32();
    switch (code) {
      case Frontend.TLS_CODE, Frontend.GSS_CODE -> channel.send(new byte[] {'N'});
      case Frontend.CANCEL_CODE -> {
        cancelKeys.cancel(new CancelKeys.Key(body.int32(), body.int32()));
        state = State.CLOSED;
        channel.close();
      }
      default -> {
        if (code >>> 16 != Frontend.PROTOCOL_VERSION >>> 16) {
          throw violation("protocol version " + (code >>> 16) + " is not supported");
        }
        readParameters(body);
        requestAuthentication();
      }
    }
  }

  private void readParameters(WireMessage.Reader body) {
    String name = body.text();
    while (!name.isEmpty()) {
      startup.put(name, body.text());
      name = body.text();
    }
  }

  private void requestAuthentication() {
    channel.typedMessages();
    state = State.MECHANISM;
    byte[] mechanisms =
        (ScramExchange.MECHANISM + "\0\0").getBytes(java.nio.charset.StandardCharsets.UTF_8);
    channel.send(Backend.authenticationSasl(SASL_MECHANISMS, mechanisms));
  }

  private void onClientFirst(WireMessage message) {
    requireSaslResponse(message);
    WireMessage.Reader body = message.body();
    String mechanism = body.text();
    if (!mechanism.equals(ScramExchange.MECHANISM)) {
      throw violation("SASL mechanism " + mechanism + " is not supported");
    }
    byte[] content = body.value();
    if (content == null) {
      throw violation("the initial SASL response is missing");
    }
    String user = startup.getOrDefault("user", "");
    Optional<ScramVerifier> verifier = Optional.ofNullable(settings.users().get(user));
    scram = new ScramExchange(user, verifier);
    channel.send(Backend.authenticationSasl(SASL_CONTINUE, scram.challenge(content)));
    state = State.PROOF;
  }

  private void onClientFinal(WireMessage message) {
    requireSaslResponse(message);
    byte[] signature = scram.verify(message.body().rest());
    String database = startup.getOrDefault("database", startup.getOrDefault("user", ""));
    if (!sessions.databaseExists(database)) {
      throw new StreamcourseException(
          ErrorCode.UNKNOWN_DATABASE,
          "startup",
          "",
          "database \"" + database + "\" does not exist");
    }
    CallerSession opened =
        sessions.open(
            channel, database, startup.getOrDefault("user", ""), StartupOptions.parse(startup));
    channel.send(Backend.authenticationSasl(SASL_FINAL, signature));
    completeLogin(opened);
  }

  private void completeLogin(CallerSession opened) {
    loginTimer.dispose();
    cancelKey = cancelKeys.register(opened::cancel);
    channel.send(Backend.authenticationOk());
    sendParameter("server_version", SERVER_VERSION);
    sendParameter("server_encoding", "UTF8");
    sendParameter("client_encoding", "UTF8");
    sendParameter("DateStyle", "ISO, MDY");
    sendParameter("TimeZone", startup.getOrDefault("TimeZone", "UTC"));
    sendParameter("integer_datetimes", "on");
    sendParameter("standard_conforming_strings", "on");
    channel.send(Backend.backendKey(cancelKey.process(), cancelKey.secret()));
    channel.send(Backend.ready(Backend.STATUS_IDLE));
    session = opened;
    state = State.SESSION;
  }

  private void sendParameter(String name, String value) {
    channel.send(Backend.parameterStatus(name, value));
  }

  private static void requireSaslResponse(WireMessage message) {
    if (message.type() != Frontend.PASSWORD) {
      throw violation("expected a SASL response, got message type '" + message.type() + "'");
    }
  }

  private static StreamcourseException violation(String what) {
    return new StreamcourseException(ErrorCode.PROTOCOL_VIOLATION, "login", "", what);
  }

  @Override
  public void onClosed(Throwable cause) {
    if (cause instanceof TooLongFrameException
        || cause instanceof io.netty.handler.codec.CorruptedFrameException) {
      refuse(violation("message length is invalid or exceeds the limit"));
    }
    loginTimer.dispose();
    state = State.CLOSED;
    if (session != null) {
      cancelKeys.remove(cancelKey);
      session.channelClosed();
    }
  }
}
