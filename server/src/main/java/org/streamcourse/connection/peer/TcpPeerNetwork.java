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
import org.streamcourse.process.FatalErrors;
import org.streamcourse.process.FleetKey;
import org.streamcourse.process.MemoryLimits;
import org.streamcourse.process.MessageCodec;
import org.streamcourse.process.StreamcourseException;
import org.streamcourse.version.image.Placement;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.resources.LoopResources;
import reactor.netty.tcp.TcpClient;
import reactor.netty.tcp.TcpServer;

/**
 * Peer links over TCP. A process opens one link to each peer to which it sends, on its first
 * message, and receives on the links that its peers have opened. Messages are queued, up to a
 * limit, while their link is being opened; a message that can't be sent is dropped, as the contract
 * of {@link PeerNetwork} allows.
 */
public final class TcpPeerNetwork implements PeerNetwork {
  private static final Logger LOG = LoggerFactory.getLogger(TcpPeerNetwork.class);
  private static final int MAX_FRAME_BYTES = 96 * 1024 * 1024;
  private static final int LENGTH_BYTES = Integer.BYTES;
  private static final long MIN_REDIAL_MILLIS = 100;
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

  /** Reply time-out where peers need not answer; long enough to have no effect in practice. */
  private static final Duration NO_REPLY_TIMEOUT = Duration.ofDays(1);

  private final String self;
  private final MessageCodec codec;
  private final FleetKey key;
  private final LoopResources loops;
  private final Function<String, PeerAddress> addresses;
  private final Duration replyTimeout;
  private final Map<String, Link> links = new ConcurrentHashMap<>();
  private final Set<String> acceptedPeers = ConcurrentHashMap.newKeySet();
  private final Map<String, Placement> placements = new ConcurrentHashMap<>();
  private final UnsentLimit<Link> unsent =
      new UnsentLimit<>(
          MemoryLimits.ofThisProcess().unsentBytes(), links.values(), Link::unsentBytes);
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
   * @param key key that proves membership of the fleet
   * @param loops event loops
   * @param addresses returns a peer's address, or null for an unknown peer
   */
  public TcpPeerNetwork(
      String self,
      MessageCodec codec,
      FleetKey key,
      LoopResources loops,
      Function<String, PeerAddress> addresses) {
    this(self, codec, key, loops, addresses, NO_REPLY_TIMEOUT);
  }

  /**
   * Creates a network between processes that always answer each other, so that a missing answer
   * shows that a link is broken. After a network partition, a TCP connection may remain unusable
   * long after the partition has healed.
   *
   * @param self name of this process
   * @param codec codec that knows all messages
   * @param key key that proves membership of the fleet
   * @param loops event loops
   * @param addresses returns a peer's address, or null for an unknown peer
   * @param replyTimeout time without any message from a peer while an answer is outstanding, after
   *     which the next message to it opens a new link
   */
  public TcpPeerNetwork(
      String self,
      MessageCodec codec,
      FleetKey key,
      LoopResources loops,
      Function<String, PeerAddress> addresses,
      Duration replyTimeout) {
    this.self = self;
    this.codec = codec;
    this.key = key;
    this.loops = loops;
    this.addresses = addresses;
    this.replyTimeout = replyTimeout;
  }

  /**
   * Sets the placement of this process, which is sent to peers in the first message on each link.
   *
   * @param value region and zone; must be set before {@link #start}
   */
  public void setPlacement(Placement value) {
    placement = value;
  }

  /**
   * Returns the bytes that wait on all links.
   *
   * @return bytes
   */
  public long unsentBytes() {
    return unsent.total();
  }

  /**
   * Returns the counters of sent messages by kind and distance.
   *
   * @return traffic counters
   */
  public LinkTraffic traffic() {
    return traffic;
  }

  /**
   * Starts to accept links.
   *
   * @param host IP address to bind
   * @param port TCP port to bind
   * @param receiver handler of messages, called on event loops
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
    OutgoingMessage outgoing = outgoing(message);
    peers.forEach(peer -> send(peer, outgoing));
  }

  private OutgoingMessage outgoing(Object message) {
    return new OutgoingMessage(message, codec.encode(message));
  }

  private void send(String peer, OutgoingMessage message) {
    links.computeIfAbsent(peer, Link::new).send(message);
  }

  /** The distance is unknown until the peer has sent its placement on a link to this process. */
  private PeerDistance distanceTo(String peer) {
    return PeerDistance.between(placement, placements.get(peer));
  }

  private void accept(Connection connection) {
    addFraming(connection);
    connection.addHandlerLast("messages", new Receiver());
    connection.channel().config().setAutoRead(true);
  }

  /**
   * Handles a link opened by a peer. A peer that opens another link has restarted or found its
   * previous link broken; the link to the peer may be broken too and is closed unless it is recent.
   * The peer does the same on the link that replaces it, but the peer's link is recent by then.
   */
  private void accepted(String peer) {
    Link link = links.get(peer);
    if (!acceptedPeers.add(peer) && link != null) {
      link.closeOlderThan(replyTimeout);
    }
  }

  private void messageReceived(String peer) {
    Link link = links.get(peer);
    if (link != null) {
      link.messageReceived();
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
        messageReceived(peer);
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
        String address = String.valueOf(context.channel().remoteAddress());
        LOG.warn("refuses a peer link from {}: no valid hello with this version and key", address);
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
      FatalErrors.check(cause);
      if (cause instanceof StreamcourseException) {
        LOG.error("link from peer {} failed: {}; closes the link", peer, cause.toString());
      }
      context.close();
    }
  }

  /** A link opened by this process. Guarded by its lock, which is held during handler calls. */
  private final class Link {
    private final String peer;
    private final OutgoingQueue queue = new OutgoingQueue();
    private final ReplyTimeout replies;
    private FramePacker packer = new FramePacker();
    private volatile Channel channel;
    private boolean dialing;
    private long lastDialNanos;
    private long number;
    private long openedNanos;
    private long writtenMessages;

    Link(String peer) {
      this.peer = peer;
      this.replies = new ReplyTimeout(peer, replyTimeout);
    }

    /** Returns the bytes that the peer has not taken yet; may be called on any thread. */
    private long unsentBytes() {
      Channel open = channel;
      ChannelOutboundBuffer buffer = open == null ? null : open.unsafe().outboundBuffer();
      return queue.bytes() + (buffer == null ? 0 : buffer.totalPendingWriteBytes());
    }

    synchronized void messageReceived() {
      replies.messageReceived();
    }

    synchronized void send(OutgoingMessage message) {
      if (channel != null && (!channel.isActive() || replies.isOverdue(message.expectsAnswer()))) {
        Channel broken = channel;
        ended();
        broken.close();
        // ended() has cleared the channel, so that lost() does not report it again.
        handler.linkLost(peer);
      }
      if (channel != null) {
        write(message);
        return;
      }
      if (queue.isFull() || unsent.isFull(this)) {
        reportUndelivered(List.of(message), "too many messages wait already");
        return;
      }
      queue.add(message);
      dial();
    }

    private void write(OutgoingMessage message) {
      if (unsent.isFull(this)) {
        LOG.warn("{} unsent bytes to peer {} are too many; closes the link", unsentBytes(), peer);
        channel.close();
        reportUndelivered(List.of(message), "too many bytes are unsent");
        return;
      }
      writtenMessages++;
      PeerDistance distance = distanceTo(peer);
      byte[] bytes = packer.pack(message.bytes(), distance == PeerDistance.OTHER_REGION);
      sentBytes.addAndGet(LENGTH_BYTES + bytes.length);
      traffic.sent(LinkTraffic.kindOf(message.message()), distance, LENGTH_BYTES + bytes.length);
      // Length and content share one buffer, so that a single system call writes both.
      ByteBuf frame = Unpooled.buffer(LENGTH_BYTES + bytes.length);
      frame.writeInt(bytes.length).writeBytes(bytes);
      writeInOrder(channel, frame);
    }

    /**
     * Writes a frame on the channel's event loop. Frames of a compressed stream must be sent in the
     * order in which they were packed; a direct write from the event loop's own thread would
     * overtake the writes that other threads have queued there, so every write is queued.
     */
    private void writeInOrder(Channel target, ByteBuf frame) {
      try {
        target.eventLoop().execute(() -> target.writeAndFlush(frame, target.voidPromise()));
      } catch (RejectedExecutionException e) {
        frame.release();
        LOG.debug("message to peer {} dropped: the event loop has shut down", peer);
      }
    }

    private void dial() {
      long sinceLast = System.nanoTime() - lastDialNanos;
      if (dialing) {
        return;
      }
      PeerAddress address = addresses.apply(peer);
      boolean tooSoon = sinceLast < Duration.ofMillis(MIN_REDIAL_MILLIS).toNanos();
      if (address == null || (lastDialNanos != 0 && tooSoon)) {
        drop(address == null ? "address unknown" : "previous connection attempt too recent");
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
      Duration shorter =
          replyTimeout.compareTo(CONNECT_TIMEOUT) < 0 ? replyTimeout : CONNECT_TIMEOUT;
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
      writtenMessages = 0;
      LinkHello hello =
          new LinkHello(LinkMessage.PROTOCOL_VERSION, self, key.sign(self), placement);
      packer.close();
      packer = new FramePacker();
      List<OutgoingMessage> messages = new ArrayList<>(List.of(outgoing(hello)));
      messages.addAll(queue.takeAll());
      try {
        messages.forEach(this::write);
      } catch (RuntimeException e) {
        // Some messages may have been written, so only the lost link is reported, none of them as
        // undelivered.
        LOG.error("writing queued messages to peer {} failed; closes the link", peer, e);
        opened.close();
      }
      // Registered last, since the callback runs at once when the connection is closed already.
      connection.onDispose(() -> lost(opened));
    }

    private synchronized void failed(Throwable cause) {
      dialing = false;
      drop(cause.toString());
    }

    private void drop(String cause) {
      reportUndelivered(queue.takeAll(), cause);
    }

    private void reportUndelivered(List<OutgoingMessage> dropped, String cause) {
      log.dropped(peer, dropped.size(), cause);
      if (handler != null) {
        handler.undelivered(peer, dropped.stream().map(OutgoingMessage::message).toList());
      }
    }

    /** Reports a lost channel once: later messages may go to the peer's next incarnation. */
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
      log.ended(peer, number, writtenMessages, openedNanos);
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
