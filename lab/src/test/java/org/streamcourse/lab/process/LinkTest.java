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

/** The loss of a link is told once, not again with the first message to the peer's next run. */
public class LinkTest {
  private static final Duration PATIENCE = Duration.ofSeconds(60);
  private static final Duration SILENCE = Duration.ofMillis(300);
  private static final int EXCHANGES = 20;
  private static final String HOST = "127.0.0.1";

  /** Counts what a process hears from its links. */
  private static final class Counts implements PeerHandler {
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

  /** A message that its receiver answers. */
  private static PositionRequest question(long number) {
    return new PositionRequest(number, "group", "member");
  }

  @Test
  public void lossOfALinkIsToldOnce() throws Exception {
    LoopResources loops = LoopResources.create("link-test", 2, true);
    int portOfEdge = freePort();
    int portOfGateway = freePort();
    Counts edge = new Counts();
    TcpPeerNetwork edgeNetwork = network("edge", loops, portOfGateway);
    edgeNetwork.start(HOST, portOfEdge, edge);
    LoopResources firstLoops = LoopResources.create("gateway", 1, true);
    Counts firstRun = new Counts();
    network("gateway", firstLoops, portOfEdge).start(HOST, portOfGateway, firstRun);
    edgeNetwork.send("gateway", new KeepStreams(List.of(1L)));
    await().atMost(PATIENCE).until(() -> firstRun.received.get() == 1);
    // All channels of the first run close, as those of a process that ends.
    firstLoops.disposeLater(Duration.ZERO, Duration.ofSeconds(5)).block(PATIENCE);
    await().atMost(PATIENCE).until(() -> edge.lost.get() == 1);
    Counts nextRun = new Counts();
    network("gateway", loops, portOfEdge).start(HOST, portOfGateway, nextRun);
    edgeNetwork.send("gateway", new KeepStreams(List.of(2L)));
    await().atMost(PATIENCE).until(() -> nextRun.received.get() == 1);
    assertEquals(edge.lost.get(), 1, "the message belongs to the next run");
    loops.dispose();
  }

  /** Guards against a delivered message that counts as dropped (TWICE). */
  @Test
  public void onlyMessagesThatWereOnNoLinkAreToldAsUndelivered() throws Exception {
    LoopResources loops = LoopResources.create("dropped-test", 2, true);
    int portOfEdge = freePort();
    int portOfHolder = freePort();
    Counts edge = new Counts();
    TcpPeerNetwork edgeNetwork = network("edge", loops, portOfHolder);
    edgeNetwork.start(HOST, portOfEdge, edge);
    LoopResources holderLoops = LoopResources.create("holder", 1, true);
    Counts holder = new Counts();
    network("holder", holderLoops, portOfEdge).start(HOST, portOfHolder, holder);
    AtomicLong numbers = new AtomicLong();
    edgeNetwork.send("holder", new KeepStreams(List.of(numbers.incrementAndGet())));
    await().atMost(PATIENCE).until(() -> holder.received.get() == 1);
    holderLoops.disposeLater(Duration.ZERO, Duration.ofSeconds(5)).subscribe();
    await()
        .atMost(PATIENCE)
        .pollInterval(Duration.ofMillis(1))
        .until(
            () -> {
              edgeNetwork.send("holder", new KeepStreams(List.of(numbers.incrementAndGet())));
              return edge.lost.get() > 0 && edge.undelivered.size() > EXCHANGES;
            });
    assertTrue(Collections.disjoint(edge.undelivered, holder.messages), "delivered and dropped");
    loops.dispose();
  }

  @Test
  public void aBusyLinkToAnotherRegionIsCompressedAndLosesNothing() throws Exception {
    LoopResources loops = LoopResources.create("far-test", 2, true);
    int portOfEdge = freePort();
    int portOfHolder = freePort();
    Counts edge = new Counts();
    Counts holder = new Counts();
    TcpPeerNetwork edgeNetwork = network("edge", loops, portOfHolder);
    TcpPeerNetwork holderNetwork = network("holder", loops, portOfEdge);
    edgeNetwork.setPlacement(new Placement("r1", "r1-a"));
    holderNetwork.setPlacement(new Placement("r2", "r2-a"));
    edgeNetwork.start(HOST, portOfEdge, edge);
    holderNetwork.start(HOST, portOfHolder, holder);
    holderNetwork.send("edge", new KeepStreams(List.of(1L)));
    await().atMost(PATIENCE).until(() -> edge.received.get() == 1);
    List<Long> streams = LongStream.range(0, 40).boxed().toList();
    int messages = 500;
    for (int i = 0; i < messages; i++) {
      edgeNetwork.send("holder", new KeepStreams(streams));
    }
    await().atMost(PATIENCE).until(() -> holder.received.get() == messages);
    long plain = (long) messages * StreamTypes.codec().encode(new KeepStreams(streams)).length;
    assertTrue(2 * edgeNetwork.sentBytes() < plain, edgeNetwork.sentBytes() + " for " + plain);
    edgeNetwork.traffic().forEach(each -> assertEquals(each.distance(), PeerDistance.OTHER_REGION));
    loops.dispose();
  }

  @Test
  public void linkThatACutLeavesStuckIsReplaced() throws Exception {
    LoopResources loops = LoopResources.create("stuck-test", 2, true);
    int portOfEdge = freePort();
    int portOfController = freePort();
    int portOfRelay = freePort();
    Counts edge = new Counts();
    Counts controller = new Counts();
    Relay relay =
        new Relay(new HostPort(HOST, portOfRelay), new HostPort(HOST, portOfController), 0, loops);
    TcpPeerNetwork edgeNetwork = impatientNetwork("edge", loops, portOfRelay);
    edgeNetwork.start(HOST, portOfEdge, edge);
    impatientNetwork("controller", loops, portOfEdge).start(HOST, portOfController, controller);
    edgeNetwork.send("controller", question(1));
    await().atMost(PATIENCE).until(() -> controller.received.get() == 1);
    relay.cut();
    int sentIntoTheCut = 2;
    for (int i = 0; i < sentIntoTheCut; i++) {
      edgeNetwork.send("controller", question(2));
    }
    relay.healNewConnectionsOnly();
    await()
        .atMost(PATIENCE)
        .until(
            () -> {
              edgeNetwork.send("controller", question(3));
              return controller.received.get() > 1;
            });
    relay.close();
    loops.dispose();
  }

  /** Guards against a message that is lost since it is the one that finds its link stuck. */
  @Test
  public void theMessageThatFindsItsLinkStuckGoesOverTheNextLink() throws Exception {
    LoopResources loops = LoopResources.create("found-stuck-test", 2, true);
    int portOfEdge = freePort();
    int portOfHolder = freePort();
    Counts edge = new Counts();
    Counts holder = new Counts();
    TcpPeerNetwork edgeNetwork = impatientNetwork("edge", loops, portOfHolder);
    edgeNetwork.start(HOST, portOfEdge, edge);
    impatientNetwork("holder", loops, portOfEdge).start(HOST, portOfHolder, holder);
    edgeNetwork.send("holder", question(1));
    await().atMost(PATIENCE).until(() -> holder.received.get() == 1);
    // The first message on the link waited for it; the next one is written and not answered.
    edgeNetwork.send("holder", question(2));
    await().pollDelay(SILENCE.multipliedBy(2)).atMost(PATIENCE).until(() -> true);
    edgeNetwork.send("holder", question(3));
    await().atMost(PATIENCE).until(() -> edge.lost.get() == 1);
    await().atMost(PATIENCE).until(() -> holder.received.get() == 3);
    loops.dispose();
  }

  @DataProvider
  public Object[][] messagesWithoutAnswer() {
    TermPosition place = new TermPosition(1, 1);
    return new Object[][] {
      {new RelayMessage.Pong()},
      {new StreamMessage.CloseStream(1)},
      {new StreamMessage.Credit(1, 1)},
      {new KeepStreams(List.of(1L))},
      {new StreamMessage.Broken(1, "link", "it broke")},
      {new StreamMessage.AwaitReceived("group", "member", 1, place)},
      {new StreamMessage.ReceivedReport("group", "member", 1, place)}
    };
  }

  /** Guards against a healthy link that is closed, with a statement on it, after a quiet time. */
  @Test(dataProvider = "messagesWithoutAnswer")
  public void silenceAfterAMessageThatNeedsNoAnswerIsBorne(Object message) throws Exception {
    LoopResources loops = LoopResources.create("one-way-test", 2, true);
    int portOfHolder = freePort();
    int portOfSender = freePort();
    Counts holder = new Counts();
    Counts sender = new Counts();
    TcpPeerNetwork holderNetwork = impatientNetwork("holder", loops, portOfSender);
    holderNetwork.start(HOST, portOfHolder, holder);
    impatientNetwork("sender", loops, portOfHolder).start(HOST, portOfSender, sender);
    holderNetwork.send("sender", message);
    await().atMost(PATIENCE).until(() -> sender.received.get() == 1);
    holderNetwork.send("sender", message);
    await().pollDelay(SILENCE.multipliedBy(2)).atMost(PATIENCE).until(() -> true);
    holderNetwork.send("sender", message);
    await().atMost(PATIENCE).until(() -> sender.received.get() == 3);
    assertEquals(holder.lost.get(), 0, "links lost");
    loops.dispose();
  }

  @Test
  public void aPeerThatOpensAnotherLinkGetsAnotherBack() throws Exception {
    LoopResources loops = LoopResources.create("again-test", 2, true);
    int portOfHolder = freePort();
    int portOfSender = freePort();
    Counts holder = new Counts();
    Counts sender = new Counts();
    TcpPeerNetwork holderNetwork = impatientNetwork("holder", loops, portOfSender);
    holderNetwork.start(HOST, portOfHolder, holder);
    TcpPeerNetwork senderNetwork = impatientNetwork("sender", loops, portOfHolder);
    senderNetwork.start(HOST, portOfSender, sender);
    senderNetwork.send("holder", new RelayMessage.Ping());
    holderNetwork.send("sender", new RelayMessage.Pong());
    await().atMost(PATIENCE).until(() -> sender.received.get() == 1 && holder.received.get() == 1);
    await().pollDelay(SILENCE.multipliedBy(2)).atMost(PATIENCE).until(() -> true);
    TcpPeerNetwork restarted = impatientNetwork("sender", loops, portOfHolder);
    restarted.send("holder", new RelayMessage.Ping());
    await().atMost(PATIENCE).until(() -> holder.lost.get() == 1);
    for (int i = 0; i < EXCHANGES; i++) {
      int before = holder.received.get();
      holderNetwork.send("sender", new RelayMessage.Pong());
      senderNetwork.send("holder", new RelayMessage.Ping());
      await().atMost(PATIENCE).until(() -> holder.received.get() > before);
    }
    assertTrue(holder.lost.get() <= 2, "each side replaces its link once: " + holder.lost.get());
    loops.dispose();
  }

  private static TcpPeerNetwork impatientNetwork(String self, LoopResources loops, int peerPort) {
    return new TcpPeerNetwork(
        self,
        StreamTypes.codec(),
        new FleetKey("key"),
        loops,
        peer -> new PeerAddress(HOST, peerPort),
        SILENCE);
  }
}
