package org.streamcourse.connection.backend;

import io.netty.channel.ChannelOption;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiFunction;
import org.streamcourse.connection.peer.PeerAddress;
import org.streamcourse.connection.wire.Backend;
import org.streamcourse.connection.wire.Frontend;
import org.streamcourse.connection.wire.WireChannel;
import org.streamcourse.connection.wire.WireHandler;
import org.streamcourse.connection.wire.WireMessage;
import org.streamcourse.process.ErrorCode;
import org.streamcourse.process.StreamcourseException;
import org.streamcourse.version.image.GroupImage;
import org.streamcourse.version.image.MemberImage;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;
import reactor.netty.resources.LoopResources;
import reactor.netty.tcp.TcpClient;

/** Opens connections to members over TCP with the PostgreSQL wire protocol. */
public final class TcpMemberConnector implements MemberConnector {
  private static final Duration LOGIN_TIMEOUT = Duration.ofSeconds(2);
  private static final int MAX_FRAME_BYTES = 256 * 1024 * 1024;
  private static final int AUTHENTICATION_OK = 0;
  private static final int AUTHENTICATION_CLEARTEXT = 3;

  private final LoopResources loops;
  private final String user;
  private final String password;
  private final BiFunction<GroupImage, MemberImage, PeerAddress> addresses;

  /**
   * Creates a connector.
   *
   * @param loops event loops
   * @param user user name at the members
   * @param password password of that user
   * @param addresses returns the address of a member
   */
  public TcpMemberConnector(
      LoopResources loops,
      String user,
      String password,
      BiFunction<GroupImage, MemberImage, PeerAddress> addresses) {
    this.loops = loops;
    this.user = user;
    this.password = password;
    this.addresses = addresses;
  }

  @Override
  public Mono<MemberSession> connect(GroupImage group, MemberImage member) {
    PeerAddress address = addresses.apply(group, member);
    return client(address)
        .connect()
        .flatMap(
            connection ->
                Mono.<MemberSession>create(
                        sink ->
                            new Login(
                                    WireChannel.connected(connection, MAX_FRAME_BYTES),
                                    address,
                                    group.name(),
                                    sink)
                                .start())
                    .doOnError(any -> connection.dispose())
                    .doOnCancel(connection::dispose))
        .timeout(LOGIN_TIMEOUT)
        .onErrorMap(
            cause ->
                cause instanceof StreamcourseException
                    ? cause
                    : failure(group.name() + '/' + member.name(), cause.toString()));
  }

  private TcpClient client(PeerAddress address) {
    return TcpClient.newConnection()
        .host(address.host())
        .port(address.port())
        .runOn(loops, false)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) LOGIN_TIMEOUT.toMillis());
  }

  private static StreamcourseException failure(String member, String detail) {
    return new StreamcourseException(
        ErrorCode.NO_MEMBER_AVAILABLE, "connect-member", member, detail);
  }

  /** Performs the login, then serves as the session. */
  private final class Login implements WireHandler, MemberSession {
    private final WireChannel channel;
    private final PeerAddress address;
    private final String database;
    private final MonoSink<MemberSession> sink;
    private boolean loggedIn;
    private boolean failed;
    private int process;
    private int secret;
    private volatile Listener listener;

    /** Whether the connection is closed; guarded by this object, as is {@link #whenClosed}. */
    private boolean closed;

    private Runnable whenClosed = () -> {};

    Login(WireChannel channel, PeerAddress address, String database, MonoSink<MemberSession> sink) {
      this.channel = channel;
      this.address = address;
      this.database = database;
      this.sink = sink;
    }

    void start() {
      channel.open(this);
      Map<String, String> parameters = new TreeMap<>();
      parameters.put("user", user);
      parameters.put("database", database);
      parameters.put("client_encoding", "UTF8");
      parameters.put("application_name", "streamcourse");
      channel.send(Frontend.startup(parameters));
    }

    @Override
    public void onMessage(WireMessage message) {
      if (loggedIn) {
        Listener current = listener;
        if (current != null) {
          current.onMessage(message);
        }
        return;
      }
      switch (message.type()) {
        case Backend.AUTHENTICATION -> authenticate(message.body().int32());
        case Backend.BACKEND_KEY -> storeCancelKey(message.body());
        case Backend.ERROR -> fail(Backend.errorText(message));
        case Backend.READY -> {
          loggedIn = true;
          sink.success(this);
        }
        default -> {
          // Parameter reports and notices are not needed during login.
        }
      }
    }

    private void authenticate(int request) {
      if (request == AUTHENTICATION_CLEARTEXT) {
        channel.send(Frontend.password(password));
      } else if (request != AUTHENTICATION_OK) {
        fail("authentication request " + request + " is not supported");
      }
    }

    /** Fails the login; later failures, such as the close of the channel, are ignored. */
    private void fail(String detail) {
      if (!failed) {
        failed = true;
        sink.error(failure(address.toString(), detail));
        channel.close();
      }
    }

    private void storeCancelKey(WireMessage.Reader body) {
      process = body.int32();
      secret = body.int32();
    }

    @Override
    public void onReadComplete() {
      Listener current = listener;
      if (loggedIn && current != null) {
        current.onReadComplete();
      }
    }

    @Override
    public void onClosed(Throwable cause) {
      String text = cause == null ? "connection closed" : cause.toString();
      markClosed().run();
      if (!loggedIn) {
        fail(text);
        return;
      }
      Listener current = listener;
      if (current != null) {
        current.onClosed(text);
      }
    }

    private synchronized Runnable markClosed() {
      closed = true;
      Runnable waiting = whenClosed;
      whenClosed = () -> {};
      return waiting;
    }

    @Override
    public void listen(Listener next) {
      listener = next;
    }

    @Override
    public void send(byte[] messages) {
      channel.send(messages);
    }

    @Override
    public void pauseReading() {
      channel.pauseReading();
    }

    @Override
    public void resumeReading() {
      channel.resumeReading();
    }

    @Override
    public void cancel() {
      client(address)
          .connect()
          .subscribe(
              connection ->
                  connection
                      .outbound()
                      .sendByteArray(Mono.just(Frontend.cancel(process, secret)))
                      .then()
                      .doFinally(any -> connection.dispose())
                      .subscribe(),
              any -> {});
    }

    @Override
    public void end(Runnable whenEnded) {
      listener = null;
      if (awaitClose(whenEnded)) {
        channel.resumeReading();
        channel.send(Frontend.terminate());
      } else {
        whenEnded.run();
      }
    }

    /** Sets the callback for the close; returns false if the connection is closed already. */
    private synchronized boolean awaitClose(Runnable whenEnded) {
      if (!closed) {
        whenClosed = whenEnded;
      }
      return !closed;
    }

    @Override
    public void close() {
      channel.send(Frontend.terminate());
      channel.close();
    }
  }
}
