package org.streamcourse.connection.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamcourse.connection.peer.LinkMessage.LinkHello;
import org.streamcourse.process.FleetKey;
import org.streamcourse.process.MessageCodec;
import org.streamcourse.process.StreamcourseException;
import org.streamcourse.version.image.Placement;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.resources.LoopResources;
import reactor.netty.tcp.TcpClient;
import reactor.netty.tcp.TcpServer;

/**
 * Links over TCP. A process opens one link to each peer to which it sends, on its first message,
 * and receives on the links that its peers opened. While a link is being opened messages wait, up
 * to a limit; a message that can't be sent is dropped, as the contract of {@link PeerNetwork}
 * allows.
 */
public final class TcpPeerNetwork implements PeerNetwork {
  private static final Logger LOG = LoggerFactory.getLogger(TcpPeerNetwork.class);
  private static final int MAX_FRAME_BYTES = 96 * 1024 * 1024;
  private static final int LENGTH_BYTES = Integer.BYTES;
  private static final int MAX_WAITING = 1_024;
  private static final int MAX_UNSENT_BYTES = 32 * 1024 * 1024;
  private static final long REDIAL_MILLIS = 100;
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

  /** Silence that is borne on links whose peers need not answer. */
  private static final Duration ANY_SILENCE = Duration.ofDays(1);

  /** A message and its encoding. */
  private record Outgoing(Object message, byte[] bytes) {
    boolean expectsAnswer() {
      return !(message instanceof OneWayMessage);
    }
  }

  private final String self;
  private final MessageCodec codec;
  private final FleetKey key;
  private final LoopResources loops;
  private final Function<String, PeerAddress> addresses;
  private final Duration silence;
  private final Map<String, Link> links = new ConcurrentHashMap<>();
  private final Set<String> greeted = ConcurrentHashMap.newKeySet();
  private final Map<String, Placement> placements = new ConcurrentHashMap<>();
  private final LinkTraffic traffic = new LinkTraffic();
  private final LinkLog log = new LinkLog();
  private final AtomicLong linkNumbers = new AtomicLong();
  private volatile Placement placement;
  private volatile boolean stopped;
  private final AtomicLong sentBytes = new AtomicLong();
  private final AtomicLong receivedBytes = new AtomicLong();
  private volatile PeerHandler handler;
  private DisposableServer server;

  /**
   * Creates a network.
   *
   * @param self name of this process
   * @param codec codec that knows all messages
   * @param key proves membership of the fleet
   * @param loops event loops
   * @param addresses finds a peer's address; may return null for an unknown peer
   */
  public TcpPeerNetwork(
      String self,
      MessageCodec codec,
      FleetKey key,
      LoopResources loops,
      Function<String, PeerAddress> addresses) {
    this(self, codec, key, loops, addresses, ANY_SILENCE);
  }

  /**
   * Creates a network between processes that always answer each other, so that silence of a peer
   * shows that a link is stuck: one that was cut for a while may stay so for long after the cut.
   *
   * @param self name of this process
   * @param codec codec that knows all messages
   * @param key proves membership of the fleet
   * @param loops event loops
   * @param addresses finds a peer's address; may return null for an unknown peer
   * @param silence time without a word of a peer that was written to, after which the next message
   *     opens a new link
   */
  public TcpPeerNetwork(
      String self,
      MessageCodec codec,
      FleetKey key,
      LoopResources loops,
      Function<String, PeerAddress> addresses,
      Duration silence) {
    this.self = self;
    this.codec = codec;
    this.key = key;
    this.loops = loops;
    this.addresses = addresses;
    this.silence = silence;
  }

  /**
   * Sets where this process stands, which its peers hear in the first message on each link.
   *
   * @param value region and zone; to be set before the start
   */
  public void setPlacement(Placement value) {
    placement = value;
  }

  /**
   * Returns what was sent by kind and distance.
   *
   * @return counters
   */
  public LinkTraffic traffic() {
    return traffic;
  }

  /**
   * Starts to accept links.
   *
   * @param host IP number to bind
   * @param port TCP port to bind
   * @param receiver hears messages, on event loops
   */
  public void start(String host, int port, PeerHandler receiver) {
    handler = receiver;
    server =
        TcpServer.create()
            .host(host)
            .port(port)
            .runOn(loops, false)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .doOnConnection(this::accept)
            .bindNow();
  }

  /** Closes all links. */
  public void stop() {
    stopped = true;
    if (server != null) {
      server.dispose();
    }
    links.values().forEach(Link::close);
  }

  /**
   * Returns the bytes sent over all links since the start.
   *
   * @return bytes
   */
  public long sentBytes() {
    return sentBytes.get();
  }

  /**
   * Returns the bytes received over all links since the start.
   *
   * @return bytes
   */
  public long receivedBytes() {
    return receivedBytes.get();
  }

  @Override
  public void send(String peer, Object message) {
    if (stopped) {
      return;
    }
    send(peer, outgoing(message));
  }

  @Override
  public void sendToAll(Collection<String> peers, Object message) {
    if (stopped) {
      return;
    }
    Outgoing outgoing = outgoing(message);
    peers.forEach(peer -> send(peer, outgoing));
  }

  private Outgoing outgoing(Object message) {
    return new Outgoing(message, codec.encode(message));
  }

  private void send(String peer, Outgoing message) {
    links.computeIfAbsent(peer, Link::new).send(message);
  }

  /** A peer's placement is known once it has opened a link to this process. */
  private PeerDistance distanceTo(String peer) {
    return PeerDistance.between(placement, placements.get(peer));
  }

  private void accept(Connection connection) {
    addFraming(connection);
    connection.addHandlerLast("messages", new Receiver());
    connection.channel().config().setAutoRead(true);
  }

  /**
   * A peer that opens another link took the one before for stuck, or has started again; the way to
   * it may be as stuck. The peer gets the same news of the next link, which is new then and stays.
   */
  private void accepted(String peer) {
    Link link = links.get(peer);
    if (!greeted.add(peer) && link != null) {
      link.closeOlderThan(silence);
    }
  }

  private void heard(String peer) {
    Link link = links.get(peer);
    if (link != null) {
      link.heard();
    }
  }

  private static void addFraming(Connection connection) {
    connection.addHandlerLast(
        "frames",
        new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES));
  }

  /** Reads the messages of a link that a peer opened. */
  private final class Receiver extends SimpleChannelInboundHandler<ByteBuf> {
    private final FrameReader reader = new FrameReader();
    private String peer;

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
      byte[] bytes = new byte[frame.readableBytes()];
      frame.readBytes(bytes);
      receivedBytes.addAndGet(bytes.length + LENGTH_BYTES);
      Object message = codec.decode(reader.read(bytes));
      if (peer != null) {
        heard(peer);
        handler.receive(peer, message);
        return;
      }
      if (message instanceof LinkHello hello && isFromFleet(hello)) {
        peer = hello.name();
        if (hello.placement() != null) {
          placements.put(peer, hello.placement());
        }
        accepted(peer);
      } else {
        LOG.warn("refuses a link from {}", context.channel().remoteAddress());
        context.close();
      }
    }

    private boolean isFromFleet(LinkHello hello) {
      return hello.protocolVersion() == LinkMessage.PROTOCOL_VERSION
          && key.verifies(hello.name(), hello.proof());
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
      reader.close();
      if (peer != null) {
        log.endedByPeer(peer);
        handler.linkLost(peer);
      }
      super.channelInactive(context);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      if (cause instanceof StreamcourseException) {
        LOG.error("link from {} broke: {}", peer, cause.toString());
      }
      context.close();
    }
  }

  /** A link that this process opens; guarded by its own lock, under which the handler is called. */
  private final class Link {
    private final String peer;
    private final List<Outgoing> waiting = new ArrayList<>();
    private FramePacker packer = new FramePacker();
    private Channel channel;
    private boolean dialing;
    private long lastDialNanos;
    private long number;
    private long openedNanos;
    private long written;
    private long unansweredSinceNanos;

    Link(String peer) {
      this.peer = peer;
    }

    synchronized void heard() {
      unansweredSinceNanos = 0;
    }

    /** Whether the peer was written to on the link and has been silent for long. */
    private boolean isStuck(boolean expectsAnswer) {
      long now = System.nanoTime();
      if (unansweredSinceNanos == 0) {
        unansweredSinceNanos = expectsAnswer ? now : 0;
        return false;
      }
      if (now - unansweredSinceNanos <= silence.toNanos()) {
        return false;
      }
      LOG.info("link to {} is silent; opens another", peer);
      unansweredSinceNanos = now;
      return true;
    }

    synchronized void send(Outgoing message) {
      if (channel != null && (!channel.isActive() || isStuck(message.expectsAnswer()))) {
        Channel broken = channel;
        ended();
        broken.close();
        // lost() does not tell it again.
        handler.linkLost(peer);
      }
      if (channel != null) {
        write(message);
        return;
      }
      if (waiting.size() >= MAX_WAITING) {
        tellUndelivered(List.of(message), "too many messages wait for the dial");
        return;
      }
      waiting.add(message);
      dial();
    }

    private void write(Outgoing message) {
      ChannelOutboundBuffer unsent = channel.unsafe().outboundBuffer();
      if (unsent != null && unsent.totalPendingWriteBytes() > MAX_UNSENT_BYTES) {
        LOG.warn("link to {} is stuck; closes it", peer);
        channel.close();
        return;
      }
      written++;
      PeerDistance distance = distanceTo(peer);
      byte[] bytes = packer.pack(message.bytes(), distance == PeerDistance.OTHER_REGION);
      sentBytes.addAndGet(LENGTH_BYTES + bytes.length);
      traffic.sent(LinkTraffic.kindOf(message.message()), distance, LENGTH_BYTES + bytes.length);
      // Length and content in one buffer, so that one call of the system writes both.
      ByteBuf frame = Unpooled.buffer(LENGTH_BYTES + bytes.length);
      frame.writeInt(bytes.length).writeBytes(bytes);
      writeInOrder(channel, frame);
    }

    /**
     * Frames of a compressed stream must leave in the order in which they were packed. A write from
     * the link's own thread would overtake those of others that wait for it, so all wait there.
     */
    private void writeInOrder(Channel target, ByteBuf frame) {
      try {
        target.eventLoop().execute(() -> target.writeAndFlush(frame, target.voidPromise()));
      } catch (RejectedExecutionException e) {
        frame.release();
        LOG.debug("link to {} is not written to, since the process ends", peer);
      }
    }

    private void dial() {
      long sinceLast = System.nanoTime() - lastDialNanos;
      if (dialing) {
        return;
      }
      PeerAddress address = addresses.apply(peer);
      boolean tooSoon = sinceLast < Duration.ofMillis(REDIAL_MILLIS).toNanos();
      if (address == null || (lastDialNanos != 0 && tooSoon)) {
        drop(address == null ? "its address is not known" : "the last dial was just now");
        return;
      }
      dialing = true;
      lastDialNanos = System.nanoTime();
      TcpClient.newConnection()
          .host(address.host())
          .port(address.port())
          .runOn(loops, false)
          .option(ChannelOption.TCP_NODELAY, true)
          .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectMillis())
          .connect()
          .subscribe(this::connected, this::failed);
    }

    private int connectMillis() {
      Duration shorter = silence.compareTo(CONNECT_TIMEOUT) < 0 ? silence : CONNECT_TIMEOUT;
      return (int) shorter.toMillis();
    }

    private synchronized void connected(Connection connection) {
      addFraming(connection);
      connection.channel().config().setAutoRead(true);
      Channel opened = connection.channel();
      channel = opened;
      dialing = false;
      number = linkNumbers.incrementAndGet();
      openedNanos = System.nanoTime();
      written = 0;
      LinkHello hello =
          new LinkHello(LinkMessage.PROTOCOL_VERSION, self, key.sign(self), placement);
      packer.close();
      packer = new FramePacker();
      List<Outgoing> due = new ArrayList<>(waiting);
      waiting.clear();
      due.add(0, outgoing(hello));
      try {
        due.forEach(this::write);
      } catch (RuntimeException e) {
        // Some may have been written, so the end of the link judges all of them.
        LOG.error("link to {} can't be written to", peer, e);
        opened.close();
      }
      // Last, since a connection that is gone already is told at once.
      connection.onDispose(() -> lost(opened));
    }

    private synchronized void failed(Throwable cause) {
      dialing = false;
      drop(cause.toString());
    }

    private void drop(String cause) {
      List<Outgoing> dropped = List.copyOf(waiting);
      waiting.clear();
      tellUndelivered(dropped, cause);
    }

    private void tellUndelivered(List<Outgoing> dropped, String cause) {
      log.dropped(peer, dropped.size(), cause);
      if (handler != null) {
        handler.undelivered(peer, dropped.stream().map(Outgoing::message).toList());
      }
    }

    /** Tells once for each channel, since a later message goes to the peer's next run. */
    private void lost(Channel ended) {
      if (isCurrent(ended) && handler != null) {
        handler.linkLost(peer);
      }
    }

    private synchronized boolean isCurrent(Channel ended) {
      if (channel != ended) {
        return false;
      }
      ended();
      packer.close();
      return true;
    }

    private void ended() {
      channel = null;
      log.ended(peer, number, written, openedNanos);
    }

    synchronized void closeOlderThan(Duration age) {
      if (System.nanoTime() - lastDialNanos > age.toNanos()) {
        close();
      }
    }

    synchronized void close() {
      if (channel != null) {
        channel.close();
      }
    }
  }
}
