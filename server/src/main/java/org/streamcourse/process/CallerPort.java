package org.streamcourse.process;

import io.netty.channel.ChannelOption;
import java.util.function.Supplier;
import org.streamcourse.connection.frontend.CancelKeys;
import org.streamcourse.connection.frontend.FrontendConnection;
import org.streamcourse.connection.frontend.FrontendConnection.SessionFactory;
import org.streamcourse.connection.frontend.FrontendSettings;
import org.streamcourse.connection.wire.WireChannel;
import org.streamcourse.process.settings.HostPort;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.resources.LoopResources;
import reactor.netty.tcp.TcpServer;

/** A TCP server for the PostgreSQL protocol, for callers or operators. */
final class CallerPort {
  private static final int ACCEPT_BACKLOG = 1_024;

  private final DisposableServer server;
  private final FrontendSettings settings;
  private final SessionFactory sessions;
  private final Supplier<Worker> workers;
  private final CancelKeys cancelKeys = new CancelKeys();

  CallerPort(
      HostPort address,
      LoopResources loops,
      Supplier<Worker> workers,
      FrontendSettings settings,
      SessionFactory sessions) {
    this.settings = settings;
    this.sessions = sessions;
    this.workers = workers;
    server =
        TcpServer.create()
            .host(address.host())
            .port(address.port())
            .runOn(loops, false)
            .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.SO_KEEPALIVE, true)
            .doOnConnection(this::accept)
            .bindNow();
  }

  private void accept(Connection connection) {
    WireChannel channel =
        WireChannel.accepted(
            connection, FrontendSettings.MAX_STARTUP_BYTES, settings.maxFrameBytes());
    new FrontendConnection(channel, workers.get(), settings, sessions, cancelKeys);
  }

  void stop() {
    server.disposeNow();
  }
}
