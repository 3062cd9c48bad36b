package org.streamcourse.lab.process;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.LongStream;
import org.streamcourse.connection.peer.PeerAddress;
import org.streamcourse.connection.peer.PeerDistance;
import org.streamcourse.connection.peer.PeerHandler;
import org.streamcourse.connection.peer.TcpPeerNetwork;
import org.streamcourse.connection.relay.RelayMessage;
import org.streamcourse.lab.relay.Relay;
import org.streamcourse.process.FleetKey;
import org.streamcourse.process.settings.HostPort;
import org.streamcourse.request.StreamMessage;
import org.streamcourse.request.StreamMessage.KeepStreams;
import org.streamcourse.request.StreamMessage.PositionRequest;
import org.streamcourse.request.StreamTypes;
import org.streamcourse.version.image.Placement;
import org.streamcourse.version.image.TermPosition;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import reactor.netty.resources.LoopResources;

/** Loss, replacement and compression of peer links between two processes on loopback. */
public class LinkTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(60);
  private static final Duration REPLY_TIMEOUT = Duration.ofMillis(300);
  private static final int EXCHANGES = 20;
  private static final String HOST = "127.0.0.1";

  /** Records the events that a process receives from its peer links. */
  private static final class RecordingHandler implements PeerHandler {
    private final AtomicInteger received = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final Queue<Object> messages = new ConcurrentLinkedQueue<>();
    private final Queue<Object> undelivered = new ConcurrentLinkedQueue<>();

    @Override
    public void undelivered(String peer, List<Object> messages) {
      undelivered.addAll(messages);
    }

    @Override
    public void receive(String peer, Object message) {
      messages.add(message);
      received.incrementAndGet();
    }

    @Override
    public void linkLost(String peer) {
      lost.incrementAndGet();
    }
  }

  private static int freePort() throws Exception {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
      return socket.getLocalPort();
    }
  }

  private static TcpPeerNetwork network(String self, LoopResources loops, int peerPort) {
    return new TcpPeerNetwork(
        self,
        StreamTypes.codec(),
        new FleetKey("key"),
        loops,
        peer -> new PeerAddress(HOST, peerPort));
  }

  /** Returns a message for which the sender expects a reply. */
  private static PositionRequest messageWithReply(long number) {
    return new PositionRequest(number, "group", "member");
  }

  /** Guards against a loss that is reported again with the first message to the restarted peer. */
  @Test
  public void lossOfALinkIsReportedOnce() throws Exception {
    LoopResources loops = LoopResources.create("link-test", 2, true);
    int portOfEdge = freePort();
    int portOfGateway = freePort();
    RecordingHandler edge = new RecordingHandler();
    TcpPeerNetwork edgeNetwork = network("edge", loops, portOfGateway);
    edgeNetwork.start(HOST, portOfEdge, edge);
    LoopResources firstLoops = LoopResources.create("gateway", 1, true);
    RecordingHandler firstIncarnation = new RecordingHandler();
    network("gateway", firstLoops, portOfEdge).start(HOST, portOfGateway, firstIncarnation);
    edgeNetwork.send("gateway", new KeepStreams(List.of(1L)));
    await().atMost(TIMEOUT).until(() -> firstIncarnation.received.get() == 1);
    // Closes all channels of the first incarnation, as at the end of a process.
    firstLoops.disposeLater(Duration.ZERO, Duration.ofSeconds(5)).block(TIMEOUT);
    await().atMost(TIMEOUT).until(() -> edge.lost.get() == 1);
    RecordingHandler nextIncarnation = new RecordingHandler();
    network("gateway", loops, portOfEdge).start(HOST, portOfGateway, nextIncarnation);
    edgeNetwork.send("gateway", new KeepStreams(List.of(2L)));
    await().atMost(TIMEOUT).until(() -> nextIncarnation.received.get() == 1);
    assertEquals(edge.lost.get(), 1, "links lost after the restart");
    loops.dispose();
  }

  /** Guards against a message that is delivered and also reported as undelivered (TWICE). */
  @Test
  public void deliveredMessagesAreNotReportedAsUndelivered() throws Exception {
    LoopResources loops = LoopResources.create("dropped-test", 2, true);
    int portOfEdge = freePort();
    int portOfHolder = freePort();
    RecordingHandler edge = new RecordingHandler();
    TcpPeerNetwork edgeNetwork = network("edge", loops, portOfHolder);
    edgeNetwork.start(HOST, portOfEdge, edge);
    LoopResources holderLoops = LoopResources.create("holder", 1, true);
    RecordingHandler holder = new RecordingHandler();
    network("holder", holderLoops, portOfEdge).start(HOST, portOfHolder, holder);
    AtomicLong numbers = new AtomicLong();
    edgeNetwork.send("holder", new KeepStreams(List.of(numbers.incrementAndGet())));
    await().atMost(TIMEOUT).until(() -> holder.received.get() == 1);
    holderLoops.disposeLater(Duration.ZERO, Duration.ofSeconds(5)).subscribe();
    await()
        .atMost(TIMEOUT)
        .pollInterval(Duration.ofMillis(1))
        .until(
            () -> {
              edgeNetwork.send("holder", new KeepStreams(List.of(numbers.incrementAndGet())));
              return edge.lost.get() > 0 && edge.undelivered.size() > EXCHANGES;
            });
    assertTrue(
        Collections.disjoint(edge.undelivered, holder.messages),
        "messages both delivered and reported as undelivered");
    loops.dispose();
  }

  @Test
  public void aBusyLinkToAnotherRegionIsCompressedWithoutLoss() throws Exception {
    LoopResources loops = LoopResources.create("far-test", 2, true);
    int portOfEdge = freePort();
    int portOfHolder = freePort();
    RecordingHandler edge = new RecordingHandler();
    RecordingHandler holder = new RecordingHandler();
    TcpPeerNetwork edgeNetwork = network("edge", loops, portOfHolder);
    TcpPeerNetwork holderNetwork = network("holder", loops, portOfEdge);
    edgeNetwork.setPlacement(new Placement("r1", "r1-a"));
    holderNetwork.setPlacement(new Placement("r2", "r2-a"));
    edgeNetwork.start(HOST, portOfEdge, edge);
    holderNetwork.start(HOST, portOfHolder, holder);
    holderNetwork.send("edge", new KeepStreams(List.of(1L)));
    await().atMost(TIMEOUT).until(() -> edge.received.get() == 1);
    List<Long> streams = LongStream.range(0, 40).boxed().toList();
    int messages = 500;
    for (int i = 0; i < messages; i++) {
      edgeNetwork.send("holder", new KeepStreams(streams));
    }
    await().atMost(TIMEOUT).until(() -> holder.received.get() == messages);
    long plain = (long) messages * StreamTypes.codec().encode(new KeepStreams(streams)).length;
    assertTrue(2 * edgeNetwork.sentBytes() < plain, edgeNetwork.sentBytes() + " for " + plain);
    edgeNetwork.traffic().forEach(each -> assertEquals(each.distance(), PeerDistance.OTHER_REGION));
    loops.dispose();
  }

  @Test
  public void unresponsiveLinkIsReplacedAfterAPartition() throws Exception {
    LoopResources loops = LoopResources.create("stuck-test", 2, true);
    int portOfEdge = freePort();
    int portOfController = freePort();
    int portOfRelay = freePort();
    RecordingHandler edge = new RecordingHandler();
    RecordingHandler controller = new RecordingHandler();
    Relay relay =
        new Relay(new HostPort(HOST, portOfRelay), new HostPort(HOST, portOfController), 0, loops);
    TcpPeerNetwork edgeNetwork = networkWithShortReplyTimeout("edge", loops, portOfRelay);
    edgeNetwork.start(HOST, portOfEdge, edge);
    networkWithShortReplyTimeout("controller", loops, portOfEdge)
        .start(HOST, portOfController, controller);
    edgeNetwork.send("controller", messageWithReply(1));
    await().atMost(TIMEOUT).until(() -> controller.received.get() == 1);
    relay.cut();
    int sentDuringThePartition = 2;
    for (int i = 0; i < sentDuringThePartition; i++) {
      edgeNetwork.send("controller", messageWithReply(2));
    }
    relay.healNewConnectionsOnly();
    await()
        .atMost(TIMEOUT)
        .until(
            () -> {
              edgeNetwork.send("controller", messageWithReply(3));
              return controller.received.get() > 1;
            });
    relay.close();
    loops.dispose();
  }

  /** Guards against the loss of the message whose sending detects that its link is unresponsive. */
  @Test
  public void messageThatDetectsAnUnresponsiveLinkIsSentOnTheNextLink() throws Exception {
    LoopResources loops = LoopResources.create("found-stuck-test", 2, true);
    int portOfEdge = freePort();
    int portOfHolder = freePort();
    RecordingHandler edge = new RecordingHandler();
    RecordingHandler holder = new RecordingHandler();
    TcpPeerNetwork edgeNetwork = networkWithShortReplyTimeout("edge", loops, portOfHolder);
    edgeNetwork.start(HOST, portOfEdge, edge);
    networkWithShortReplyTimeout("holder", loops, portOfEdge).start(HOST, portOfHolder, holder);
    edgeNetwork.send("holder", messageWithReply(1));
    await().atMost(TIMEOUT).until(() -> holder.received.get() == 1);
    // The first message was queued until the link was open; the second is written and not answered.
    edgeNetwork.send("holder", messageWithReply(2));
    await().pollDelay(REPLY_TIMEOUT.multipliedBy(2)).atMost(TIMEOUT).until(() -> true);
    edgeNetwork.send("holder", messageWithReply(3));
    await().atMost(TIMEOUT).until(() -> edge.lost.get() == 1);
    await().atMost(TIMEOUT).until(() -> holder.received.get() == 3);
    loops.dispose();
  }

  @DataProvider
  public Object[][] messagesThatNeedNoReply() {
    TermPosition position = new TermPosition(1, 1);
    return new Object[][] {
      {new RelayMessage.Pong()},
      {new StreamMessage.CloseStream(1)},
      {new StreamMessage.Credit(1, 1)},
      {new KeepStreams(List.of(1L))},
      {new StreamMessage.Broken(1, "link", "it broke")},
      {new StreamMessage.AwaitReceived("group", "member", 1, position)},
      {new StreamMessage.ReceivedReport("group", "member", 1, position)}
    };
  }

  /** Guards against closing a healthy link, and with it a running statement, after idle time. */
  @Test(dataProvider = "messagesThatNeedNoReply")
  public void linkStaysOpenAfterAMessageThatNeedsNoReply(Object message) throws Exception {
    LoopResources loops = LoopResources.create("one-way-test", 2, true);
    int portOfHolder = freePort();
    int portOfSender = freePort();
    RecordingHandler holder = new RecordingHandler();
    RecordingHandler sender = new RecordingHandler();
    TcpPeerNetwork holderNetwork = networkWithShortReplyTimeout("holder", loops, portOfSender);
    holderNetwork.start(HOST, portOfHolder, holder);
    networkWithShortReplyTimeout("sender", loops, portOfHolder).start(HOST, portOfSender, sender);
    holderNetwork.send("sender", message);
    await().atMost(TIMEOUT).until(() -> sender.received.get() == 1);
    holderNetwork.send("sender", message);
    await().pollDelay(REPLY_TIMEOUT.multipliedBy(2)).atMost(TIMEOUT).until(() -> true);
    holderNetwork.send("sender", message);
    await().atMost(TIMEOUT).until(() -> sender.received.get() == 3);
    assertEquals(holder.lost.get(), 0, "links lost");
    loops.dispose();
  }

  @Test
  public void aPeerThatOpensANewLinkGetsANewLinkInReturn() throws Exception {
    LoopResources loops = LoopResources.create("again-test", 2, true);
    int portOfHolder = freePort();
    int portOfSender = freePort();
    RecordingHandler holder = new RecordingHandler();
    RecordingHandler sender = new RecordingHandler();
    TcpPeerNetwork holderNetwork = networkWithShortReplyTimeout("holder", loops, portOfSender);
    holderNetwork.start(HOST, portOfHolder, holder);
    TcpPeerNetwork senderNetwork = networkWithShortReplyTimeout("sender", loops, portOfHolder);
    senderNetwork.start(HOST, portOfSender, sender);
    senderNetwork.send("holder", new RelayMessage.Ping());
    holderNetwork.send("sender", new RelayMessage.Pong());
    await().atMost(TIMEOUT).until(() -> sender.received.get() == 1 && holder.received.get() == 1);
    await().pollDelay(REPLY_TIMEOUT.multipliedBy(2)).atMost(TIMEOUT).until(() -> true);
    TcpPeerNetwork restarted = networkWithShortReplyTimeout("sender", loops, portOfHolder);
    restarted.send("holder", new RelayMessage.Ping());
    await().atMost(TIMEOUT).until(() -> holder.lost.get() == 1);
    for (int i = 0; i < EXCHANGES; i++) {
      int before = holder.received.get();
      holderNetwork.send("sender", new RelayMessage.Pong());
      senderNetwork.send("holder", new RelayMessage.Ping());
      await().atMost(TIMEOUT).until(() -> holder.received.get() > before);
    }
    assertTrue(holder.lost.get() <= 2, "each side replaces its link once: " + holder.lost.get());
    loops.dispose();
  }

  private static TcpPeerNetwork networkWithShortReplyTimeout(
      String self, LoopResources loops, int peerPort) {
    return new TcpPeerNetwork(
        self,
        StreamTypes.codec(),
        new FleetKey("key"),
        loops,
        peer -> new PeerAddress(HOST, peerPort),
        REPLY_TIMEOUT);
  }
}
