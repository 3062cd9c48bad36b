package org.streamcourse.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.streamcourse.connection.peer.PeerNetwork;
import org.streamcourse.connection.session.ClientChannel;
import org.streamcourse.connection.session.ClientMessage;
import org.streamcourse.connection.session.ClientSession;
import org.streamcourse.request.StreamTypes;
import org.streamcourse.request.quota.QuotaSettings;
import org.streamcourse.request.routing.RequestLog;
import org.streamcourse.request.statement.Answer;
import org.streamcourse.request.statement.AnswerCode;
import org.streamcourse.request.statement.Statement;
import org.streamcourse.request.statement.StatementId;
import org.streamcourse.request.statement.StatementRequest;
import org.streamcourse.version.control.ControlMessage.HeartbeatReply;
import org.streamcourse.version.control.ControlMessage.LeaderHint;
import org.streamcourse.version.control.ControlMessage.NodeHeartbeat;
import org.streamcourse.version.control.ControlMessage.StoredImage;
import org.streamcourse.version.image.ClusterChange;
import org.streamcourse.version.image.ClusterDelta;
import org.streamcourse.version.image.ClusterImage;
import org.streamcourse.version.image.KeyDigest;
import org.streamcourse.version.image.NodeImage;
import org.streamcourse.version.image.Placement;
import org.streamcourse.version.image.RouteConsistency;
import org.streamcourse.version.image.RouteRule;
import org.streamcourse.version.image.RoutingDocument;
import org.streamcourse.version.image.ServiceRules;
import org.streamcourse.version.image.SessionLimits;
import org.streamcourse.version.image.TenantId;
import org.streamcourse.version.image.TenantRule;
import org.testng.annotations.Test;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Tests a proxy at its start, during its stop, and while it is cut off from the controllers. */
public class StatementProxyNodeTest {
  private static final Placement PLACEMENT = new Placement("r", "z");

  /** Records the messages to a caller and whether its connection was closed. */
  private static final class Caller implements ClientChannel {
    private boolean closed;
    private boolean welcomed;
    private AnswerCode last;

    @Override
    public void welcome() {
      welcomed = true;
    }

    @Override
    public void answer(Answer answer) {
      last = answer.code();
    }

    @Override
    public void refuse(Answer error) {
      last = error.code();
      closed = true;
    }

    @Override
    public void close() {
      closed = true;
    }
  }

  private static final String CONTROLLER = "10.0.0.1:1";
  private static final String SELF = "10.0.0.2:1";
  private static final String OTHER = "10.0.0.3:1";

  private static StatementProxyNode node() {
    return node(VirtualTimeScheduler.create(), (peer, message) -> {});
  }

  private static StatementProxyNode node(VirtualTimeScheduler clock, PeerNetwork network) {
    Worker worker = SchedulerWorker.onSchedulerClock(clock);
    return new StatementProxyNode(
        worker,
        network,
        StreamTypes.codec(),
        List.of(CONTROLLER),
        image(SELF),
        (host, port, listener) -> {},
        new RequestLog(new LineBudget(1, worker::now), 0),
        0,
        QuotaSettings.DEFAULT);
  }

  private static NodeImage image(String name) {
    return new NodeImage(name, 1, name.substring(0, name.indexOf(':')), 1, PLACEMENT, false);
  }

  /** Otherwise each node would open links to all other nodes at once after a power loss. */
  @Test
  public void onlyANodeCutOffForSecondsProbesItsPeers() {
    VirtualTimeScheduler clock = VirtualTimeScheduler.create();
    AtomicInteger probes = new AtomicInteger();
    StatementProxyNode node =
        node(
            clock,
            (peer, message) -> {
              if (peer.equals(OTHER)) {
                probes.incrementAndGet();
              }
            });
    node.start();
    ClusterImage stored =
        ClusterImage.EMPTY
            .apply(new ClusterChange.NodeAdmitted(image(SELF)))
            .apply(new ClusterChange.NodeAdmitted(image(OTHER)));
    node.receive(CONTROLLER, new StoredImage(stored));
    clock.advanceTimeBy(Duration.ofMillis(2_000));
    assertEquals(probes.get(), 0, "probes of a node that has just started");
    clock.advanceTimeBy(Duration.ofMillis(2_000));
    assertTrue(probes.get() > 0, "probes other nodes after 3 s");
  }

  private static KeyDigest key(String text) {
    return KeyDigest.of(text.getBytes(StandardCharsets.UTF_8));
  }

  /** A document with one database and one tenant with one key. */
  private static ClusterChange document(long version, String key) {
    return new ClusterChange.DocumentReplaced(
        new RoutingDocument(
            version,
            List.of(new RouteRule("d", "s", RouteConsistency.PRIMARY, 300, 200, 1, 1, 0, true)),
            List.of(new ServiceRules("s", 10, 0)),
            SessionLimits.DEFAULT,
            List.of(
                new TenantRule(new TenantId("t"), List.of(key(key)), 1, TenantRule.UNLIMITED, 0)),
            ""));
  }

  private static ClientSession begin(StatementProxyNode node, Caller caller, String key) {
    ClientSession session = node.open(caller);
    session.receive(new ClientMessage.Start("d", key(key)));
    return session;
  }

  private static ClientMessage read(String id) {
    return new ClientMessage.Query(
        new StatementRequest(new StatementId(id), "READ x", new Statement.Read()));
  }

  @Test
  public void documentChangesApplyToKeysOfOpenSessions() {
    VirtualTimeScheduler clock = VirtualTimeScheduler.create();
    StatementProxyNode node = node(clock, (peer, message) -> {});
    ClusterImage first = ClusterImage.EMPTY.apply(document(1, "former"));
    node.receive(OTHER, new StoredImage(first));
    clock.advanceTimeBy(Duration.ofMillis(10));
    Caller stranger = new Caller();
    begin(node, stranger, "nobody's");
    assertEquals(stranger.last, AnswerCode.NOT_ALLOWED);
    assertTrue(stranger.closed);
    Caller caller = new Caller();
    ClientSession session = begin(node, caller, "former");
    assertTrue(caller.welcomed);
    session.receive(read("r1"));
    clock.advanceTimeBy(Duration.ofMillis(400));
    assertEquals(caller.last, AnswerCode.BUSY, "the key is accepted, but there is no member");
    node.receive(OTHER, new StoredImage(first.apply(document(2, "next"))));
    clock.advanceTimeBy(Duration.ofMillis(10));
    session.receive(read("r2"));
    assertEquals(
        caller.last, AnswerCode.NOT_ALLOWED, "the key is refused at once in an open session");
    Caller later = new Caller();
    begin(node, later, "next");
    assertTrue(later.welcomed, "an added key is accepted");
  }

  @Test
  public void withStrictRevocationAnUnconfirmedNodeAcceptsNoKey() {
    VirtualTimeScheduler clock = VirtualTimeScheduler.create();
    StatementProxyNode node = node(clock, (peer, message) -> {});
    node.setKeyTrustMillis(4_000);
    node.receive(OTHER, new StoredImage(ClusterImage.EMPTY.apply(document(1, "k"))));
    clock.advanceTimeBy(Duration.ofMillis(10));
    Caller caller = new Caller();
    begin(node, caller, "k");
    assertEquals(caller.last, AnswerCode.BUSY, "no leader has confirmed the document");
  }

  /**
   * Guards against an acknowledged change that a restarted node does not follow: an image stored by
   * a controller lacks the newest change until a leader is elected.
   */
  @Test
  public void aNodeThatReachesControllersWaitsForTheirLeader() {
    VirtualTimeScheduler clock = VirtualTimeScheduler.create();
    List<NodeHeartbeat> heartbeats = new ArrayList<>();
    StatementProxyNode node = node(clock, recordHeartbeats(heartbeats));
    node.start();
    clock.advanceTimeBy(Duration.ofMillis(1_100));
    ClusterImage stored = ClusterImage.EMPTY.apply(document(1, "k"));
    node.receive(CONTROLLER, new StoredImage(stored));
    clock.advanceTimeBy(Duration.ofMillis(600));
    assertFalse(node.isReady(), "a leader may have a newer document");
    ClusterImage newer = stored.apply(document(2, "k"));
    long sequence = heartbeats.get(heartbeats.size() - 1).sequence();
    node.receive(CONTROLLER, new HeartbeatReply(sequence, null, newer, false));
    clock.advanceTimeBy(Duration.ofMillis(10));
    assertTrue(node.isReady());
    assertEquals(node.image().document().version(), 2);
  }

  /** Guards against seconds without service after a start of the whole fleet. */
  @Test
  public void aNodeThatHasJustStartedServesWithAStoredImageAtOnce() {
    VirtualTimeScheduler clock = VirtualTimeScheduler.create();
    StatementProxyNode node = node(clock, (peer, message) -> {});
    node.start();
    clock.advanceTimeBy(Duration.ofMillis(900));
    node.receive(CONTROLLER, new StoredImage(ClusterImage.EMPTY.apply(document(1, "k"))));
    clock.advanceTimeBy(Duration.ofMillis(10));
    assertTrue(node.isReady());
  }

  /** Controllers without a majority can elect no leader, and callers need not wait for them. */
  @Test
  public void aNodeServesWithAStoredImageWhenNoLeaderIsElected() {
    VirtualTimeScheduler clock = VirtualTimeScheduler.create();
    StatementProxyNode node = node(clock, (peer, message) -> {});
    node.start();
    clock.advanceTimeBy(Duration.ofMillis(1_100));
    node.receive(CONTROLLER, new StoredImage(ClusterImage.EMPTY.apply(document(1, "k"))));
    for (int i = 0; i < 3; i++) {
      clock.advanceTimeBy(Duration.ofMillis(500));
      assertFalse(node.isReady());
      node.receive(CONTROLLER, new LeaderHint(""));
    }
    clock.advanceTimeBy(Duration.ofMillis(500));
    assertTrue(node.isReady());
    node.receive(CONTROLLER, new LeaderHint(""));
    clock.advanceTimeBy(Duration.ofMillis(10));
    assertTrue(node.isReady(), "it goes on serving");
  }

  /** Guards against a caller who is told that an added database does not exist. */
  @Test
  public void anUnconfirmedNodeDoesNotReportADatabaseAsUnknown() {
    VirtualTimeScheduler clock = VirtualTimeScheduler.create();
    List<NodeHeartbeat> heartbeats = new ArrayList<>();
    StatementProxyNode node = node(clock, recordHeartbeats(heartbeats));
    node.start();
    node.receive(OTHER, new StoredImage(ClusterImage.EMPTY.apply(document(1, "k"))));
    clock.advanceTimeBy(Duration.ofMillis(10));
    Caller early = new Caller();
    node.open(early).receive(new ClientMessage.Start("added", key("k")));
    assertEquals(early.last, AnswerCode.BUSY);
    long sequence = heartbeats.get(heartbeats.size() - 1).sequence();
    node.receive(
        CONTROLLER, new HeartbeatReply(sequence, new ClusterDelta(1, List.of()), null, false));
    clock.advanceTimeBy(Duration.ofMillis(10));
    Caller later = new Caller();
    node.open(later).receive(new ClientMessage.Start("added", key("k")));
    assertEquals(later.last, AnswerCode.UNKNOWN_DATABASE);
  }

  private static PeerNetwork recordHeartbeats(List<NodeHeartbeat> heartbeats) {
    return (peer, message) -> {
      if (message instanceof NodeHeartbeat heartbeat) {
        heartbeats.add(heartbeat);
      }
    };
  }

  @Test
  public void sessionsOpenedDuringAStopEndAtOnce() {
    StatementProxyNode node = node();
    Caller before = new Caller();
    node.open(before);
    node.beginStop();
    assertFalse(before.closed, "the platform still sends callers for a while");
    node.drainSessions();
    assertTrue(before.closed);
    Caller after = new Caller();
    node.open(after);
    assertTrue(after.closed);
    assertEquals(node.openSessions(), 0);
  }
}
