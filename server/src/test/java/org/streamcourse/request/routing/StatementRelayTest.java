package org.streamcourse.request.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.streamcourse.connection.member.MemberCommand;
import org.streamcourse.connection.member.MemberLink;
import org.streamcourse.connection.relay.RelayClient;
import org.streamcourse.connection.relay.RelayMessage;
import org.streamcourse.connection.relay.RelayServer;
import org.streamcourse.process.LineBudget;
import org.streamcourse.process.MessageCodec;
import org.streamcourse.request.StreamTypes;
import org.streamcourse.request.statement.AnswerCode;
import org.streamcourse.request.statement.Statement;
import org.streamcourse.request.statement.StatementId;
import org.streamcourse.request.statement.StatementRequest;
import org.streamcourse.version.image.ClusterChange;
import org.streamcourse.version.image.ClusterImage;
import org.streamcourse.version.image.LinkShare;
import org.streamcourse.version.image.LinkShares;
import org.streamcourse.version.image.MemberId;
import org.streamcourse.version.image.RegisteredMember;
import org.streamcourse.version.image.RoutingDocument;
import org.streamcourse.version.image.SessionLimits;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Statements of a node without member connections, relayed to members by holders. The fleet has
 * more nodes than the members accept connections.
 */
public class StatementRelayTest {
  private static final int NODES = ScriptedService.CONNECTIONS + 5;
  private static final long ONE_WAY_MILLIS = 5;
  private static final long IDLE_TRANSACTION_MILLIS = 3_000;
  private static final MessageCodec CODEC = StreamTypes.codec();

  /** One node of the fleet. */
  private final class Node {
    private final String name;
    private final int number;
    private final MemberTable table;
    private final RelayClient client;
    private final RelayServer server;
    private final RequestLog log = new RequestLog(new LineBudget(0, service.worker::now), 0);

    Node(int number, long lastStream) {
      name = ScriptedService.node(number).name();
      client =
          new RelayClient(
              service.worker, (peer, message) -> carry(name, peer, message), lastStream);
      this.number = number;
      table = new MemberTable(service.worker, service, client, ScriptedService.node(number));
      server =
          new RelayServer(
              service.worker,
              (peer, message) -> carry(name, peer, message),
              table::held,
              () -> IDLE_TRANSACTION_MILLIS,
              log);
      table.update(ScriptedService.image(NODES));
      service.worker.repeat(
          100,
          () -> {
            client.check();
            server.check();
            table.checkHealth();
          });
    }

    private boolean holds(String member) {
      return table.held("s", new MemberId(member), false) != null;
    }
  }

  private ScriptedService service;
  private final Map<String, Node> nodes = new TreeMap<>();
  private final Set<String> unresponsive = new HashSet<>();
  private final Set<String> down = new HashSet<>();
  private Node origin;

  @BeforeMethod
  public void startFleet() {
    nodes.clear();
    unresponsive.clear();
    down.clear();
    service = new ScriptedService();
    for (int number = 1; number <= NODES; number++) {
      Node node = new Node(number, 0);
      nodes.put(node.name, node);
    }
    service.pass(50);
    origin =
        nodes.values().stream().filter(StatementRelayTest::holdsNothing).findFirst().orElseThrow();
  }

  private static boolean holdsNothing(Node node) {
    return !node.holds(ScriptedService.PRIMARY)
        && !node.holds(ScriptedService.FIRST_REPLICA)
        && !node.holds(ScriptedService.SECOND_REPLICA);
  }

  /** Delivers a message, encoded, unless the sender or the receiver is unresponsive or down. */
  private void carry(String from, String to, Object message) {
    if (down.contains(to)) {
      service.worker.schedule(
          ONE_WAY_MILLIS, () -> nodes.get(from).client.undelivered(to, List.of(message)));
      return;
    }
    byte[] bytes = CODEC.encode(message);
    service.worker.schedule(
        ONE_WAY_MILLIS,
        () -> {
          if (unresponsive.contains(to) || unresponsive.contains(from)) {
            return;
          }
          RelayMessage arrived = (RelayMessage) CODEC.decode(bytes);
          if (arrived.isForHolder()) {
            nodes.get(to).server.receive(from, arrived);
          } else {
            nodes.get(to).client.receive(from, arrived);
          }
        });
  }

  private Set<String> holders(String member) {
    Set<String> found = new HashSet<>();
    nodes.values().stream()
        .filter(node -> node.holds(member))
        .forEach(node -> found.add(node.name));
    return found;
  }

  /** Returns the holder to which all nodes send statements first. */
  private String firstHolder(String member) {
    return share(member, origin.name).holders().get(0);
  }

  private static LinkShare share(String member, String node) {
    ClusterImage image = ScriptedService.image(NODES);
    RegisteredMember registered = image.service("s").member(new MemberId(member)).orElseThrow();
    return new LinkShares(image).of("s", registered, node);
  }

  private void write(String id) {
    service.start(origin.table, writeRequest(id), StatementPlan.WRITE);
  }

  private static StatementRequest writeRequest(String id) {
    return new StatementRequest(new StatementId(id), "WRITE x y", new Statement.Write());
  }

  private long writesRun() {
    return service.count(ScriptedService.PRIMARY, MemberCommand.Run.class);
  }

  @Test
  public void fewNodesHoldAllConnectionsAndStayWithinTheLimit() {
    for (String member : ScriptedService.MEMBERS) {
      Set<String> holders = holders(member);
      assertEquals(holders.size(), 3, member);
      int links = holders.stream().mapToInt(node -> share(member, node).links()).sum();
      assertTrue(links < ScriptedService.CONNECTIONS, links + " links to " + member);
    }
  }

  /**
   * Guards against the failure of an incident: 53 of 72 proxies lost power, and two of five members
   * had no holder left on the larger side of a partition. Statements for these members waited for
   * their whole time-out of 5 s, although the remaining proxies reached the members.
   */
  @Test
  public void anotherNodeIsFallbackHolderWhileAllHoldersAreUnresponsive() {
    unresponsive.addAll(holders(ScriptedService.PRIMARY));
    for (int i = 0; i < 15; i++) {
      write("early" + i);
      service.pass(100);
    }
    for (int i = 0; i < 10; i++) {
      write("late" + i);
      service.pass(100);
    }
    assertEquals(service.completed("late"), 10, "served by a fallback holder");
    long connections = service.count(ScriptedService.PRIMARY, MemberCommand.Introduce.class);
    assertTrue(connections < ScriptedService.CONNECTIONS, connections + " connections");
  }

  @Test
  public void aFallbackHolderClosesItsConnectionsOnceTheHoldersRespondAgain() {
    Set<String> holders = holders(ScriptedService.PRIMARY);
    unresponsive.addAll(holders);
    for (int i = 0; i < 15; i++) {
      write("w" + i);
      service.pass(100);
    }
    assertTrue(
        holders(ScriptedService.PRIMARY).size() > holders.size(), "a node is fallback holder");
    unresponsive.clear();
    for (int i = 0; i < 30; i++) {
      write("v" + i);
      service.pass(100);
    }
    assertEquals(holders(ScriptedService.PRIMARY), holders);
    assertTrue(service.completed() >= 30, service.completed() + " served");
  }

  /** Holders that have just started, or have an older image, soon hold connections again. */
  @Test
  public void holdersThatDoNotKnowTheMemberYetAreRetriedSoon() {
    Set<String> holders = holders(ScriptedService.PRIMARY);
    holders.forEach(
        name -> nodes.get(name).table.update(ScriptedService.image(NODES).apply(withoutMembers())));
    write("w");
    service.pass(60);
    assertTrue(refusalsByHolders() > 0, "holders refuse because they have no links");
    holders.forEach(name -> nodes.get(name).table.update(ScriptedService.image(NODES)));
    service.pass(150);
    assertEquals(service.completed(), 1);
  }

  @Test
  public void aStatementRunsOnceOverAHoldersConnection() {
    write("w");
    service.pass(200);
    assertEquals(service.completed(), 1);
    assertEquals(writesRun(), 1);
  }

  /**
   * A standby has links, but statements of its own callers must use slots assigned by the owner.
   */
  @Test
  public void aStandbySendsItsOwnStatementsToTheOwner() {
    String owner = firstHolder(ScriptedService.PRIMARY);
    origin = nodes.get(share(ScriptedService.PRIMARY, origin.name).holders().get(1));
    write("w");
    service.pass(4 * ONE_WAY_MILLIS);
    assertEquals(nodes.get(owner).server.streams(), 1);
    service.pass(200);
    assertEquals(service.completed(), 1);
  }

  @Test
  public void aStandbyServesItsOwnStatementsWhileTheOwnerIsDown() {
    origin = nodes.get(share(ScriptedService.PRIMARY, origin.name).holders().get(1));
    down.add(firstHolder(ScriptedService.PRIMARY));
    write("w");
    service.pass(200);
    assertEquals(service.completed(), 1);
    assertEquals(writesRun(), 1);
  }

  /** Each transaction holds a link; the share of a standby is one link here. */
  @Test
  public void aStandbyMayOpenTheOwnersLinksWhileTheOwnerIsDown() {
    String owner = firstHolder(ScriptedService.PRIMARY);
    down.add(owner);
    for (int i = 0; i < 6; i++) {
      StatementRequest request =
          new StatementRequest(new StatementId("t" + i), "WRITE x y", new Statement.Write());
      service.start(origin.table, request, StatementPlan.PRIMARY_TRANSACTION);
    }
    service.pass(400);
    assertEquals(service.opened.size(), 6, "transactions are open");
    service.opened.forEach(MemberLink::close);
    service.pass(3_000);
    String standby = share(ScriptedService.PRIMARY, origin.name).holders().get(1);
    assertEquals(nodes.get(standby).table.service("s").primary().links(), 1);
  }

  /** Guards against standbys that send an overloaded member more statements than it has slots. */
  @Test
  public void statementsThatTheOwnerRefusesAsBusyAreNotSentToAStandby() {
    service.workMillis = 5 * ScriptedService.TARGET_MILLIS;
    String owner = firstHolder(ScriptedService.PRIMARY);
    for (int i = 0; i < 40; i++) {
      write("w" + i);
    }
    service.pass(ScriptedService.TARGET_MILLIS / 2 + 8 * ONE_WAY_MILLIS);
    for (Node node : nodes.values()) {
      int streams = node.name.equals(owner) ? ScriptedService.SLOTS : 0;
      assertEquals(node.server.streams(), streams, node.name);
    }
    assertEquals(writesRun(), ScriptedService.SLOTS);
  }

  @Test
  public void aStatementIsSentToAnotherHolderWhenOneIsDown() {
    down.add(firstHolder(ScriptedService.PRIMARY));
    write("w");
    service.pass(200);
    assertEquals(service.completed(), 1);
    assertEquals(writesRun(), 1);
  }

  @Test
  public void aStatementIsSentToAnotherHolderWhenOneStops() {
    nodes.get(firstHolder(ScriptedService.PRIMARY)).server.stopAccepting();
    write("w");
    service.pass(200);
    assertEquals(service.completed(), 1);
    assertEquals(writesRun(), 1);
  }

  @Test
  public void aWriteSentToAnUnresponsiveHolderIsInDoubtAndNotSentAgain() {
    write("u");
    service.pass(100);
    unresponsive.add(firstHolder(ScriptedService.PRIMARY));
    write("w");
    service.pass(700);
    assertEquals(service.answers.size(), 2);
    assertEquals(service.answers.get(1).code(), AnswerCode.OUTCOME_UNKNOWN);
    assertEquals(writesRun(), 1);
    write("v");
    service.pass(200);
    assertEquals(service.completed(), 2, "other holders are used meanwhile");
  }

  /** Starts a write that is in flight at the member; returns the holder that relays it. */
  private String holderOfRunningWrite() {
    service.workMillis = 50;
    write("w");
    service.pass(8 * ONE_WAY_MILLIS);
    assertEquals(writesRun(), 1);
    return firstHolder(ScriptedService.PRIMARY);
  }

  /** Guards against a second run when a link's end is reported after the messages it dropped. */
  @Test
  public void aWriteOnABrokenLinkIsNotSentAgainWhenALaterMessageIsDroppedFirst() {
    String holder = holderOfRunningWrite();
    origin.client.undelivered(holder, List.of(new RelayMessage.Ping()));
    service.pass(10);
    origin.client.linkLost(holder);
    service.pass(1_000);
    assertEquals(writesRun(), 1);
    assertEquals(service.answers.size(), 1);
    assertEquals(service.answers.get(0).code(), AnswerCode.OUTCOME_UNKNOWN);
  }

  /** Guards against a second run when a dropped message is reported after a new link opened. */
  @Test
  public void aWriteOnANewLinkIsNotSentAgainWhenAnEarlierMessageIsReportedAsDropped() {
    String holder = holderOfRunningWrite();
    origin.client.undelivered(holder, List.of(new RelayMessage.Close(1)));
    service.pass(1_000);
    assertEquals(writesRun(), 1);
    assertEquals(service.completed(), 1);
  }

  @Test
  public void noStatementRunsAtAHolderThatHasNotResponded() {
    unresponsive.add(firstHolder(ScriptedService.PRIMARY));
    write("w");
    service.pass(700);
    assertEquals(service.completed(), 1, "another holder ran it");
    assertEquals(writesRun(), 1);
  }

  @Test
  public void aStatementThatNoHolderHasAcceptedIsRefusedAndNotInDoubt() {
    unresponsive.addAll(nodes.keySet());
    write("w");
    service.pass(ScriptedService.TARGET_MILLIS);
    assertEquals(service.answers.size(), 1);
    assertEquals(service.answers.get(0).code(), AnswerCode.BUSY);
    unresponsive.clear();
    service.pass(ScriptedService.TARGET_MILLIS);
    assertEquals(writesRun(), 0, "it has not run, and does not run later");
  }

  @Test
  public void aSuspectedHolderIsUsedAgainOnceItResponds() {
    String holder = firstHolder(ScriptedService.PRIMARY);
    unresponsive.add(holder);
    write("w");
    service.pass(1_000);
    unresponsive.clear();
    service.pass(1_000);
    write("v");
    service.pass(ONE_WAY_MILLIS + 2);
    assertEquals(nodes.get(holder).server.streams(), 1);
  }

  @Test
  public void aStatementThatWaitsTooLongIsRefusedBeforeItsTimeOutAndHasNotRun() {
    service.workMillis = 5 * ScriptedService.TARGET_MILLIS;
    int links = 4 * 2;
    for (int i = 0; i < 2 * links; i++) {
      write("w" + i);
    }
    service.pass(ScriptedService.TARGET_MILLIS / 2 + 8 * ONE_WAY_MILLIS);
    long refused =
        service.answers.stream().filter(answer -> answer.code() == AnswerCode.BUSY).count();
    assertEquals(refused, service.answers.size(), "no statement is in doubt so early");
    assertTrue(refused >= links, refused + " are refused");
    assertEquals(writesRun() + refused, 2 * links, "refused statements have not run");
    assertTrue(refusalsByHolders() >= refused, refusalsByHolders() + " refusals come from holders");
  }

  /**
   * Guards against a write in doubt whose refusal by the holder arrives just after its time-out.
   */
  @Test
  public void aHoldersRefusalArrivesBeforeTheTimeOutOfALateStatement() {
    service.workMillis = 5 * ScriptedService.TARGET_MILLIS;
    origin.table.update(ScriptedService.image(NODES).apply(withoutMembers()));
    write("late");
    service.pass(300);
    Node other = nodes.get(firstHolder(ScriptedService.PRIMARY));
    for (int i = 0; i < ScriptedService.SLOTS; i++) {
      service.start(other.table, writeRequest("f" + i), StatementPlan.WRITE);
    }
    service.pass(200);
    origin.table.update(ScriptedService.image(NODES));
    service.pass(290);
    assertEquals(writesRun(), ScriptedService.SLOTS);
    long refused =
        service.answers.stream().filter(answer -> answer.code() == AnswerCode.BUSY).count();
    assertEquals(refused, 1, service.answers.toString());
  }

  private long refusalsByHolders() {
    return nodes.values().stream().mapToLong(node -> node.log.refusedForOthers()).sum();
  }

  @Test
  public void aTransactionOfAnUnresponsiveSenderIsRolledBack() {
    StatementRequest request =
        new StatementRequest(new StatementId("t"), "WRITE x y", new Statement.Write());
    service.start(origin.table, request, StatementPlan.PRIMARY_TRANSACTION);
    service.pass(100);
    assertEquals(service.count(ScriptedService.PRIMARY, MemberCommand.RollBack.class), 0);
    unresponsive.add(origin.name);
    service.pass(2 * IDLE_TRANSACTION_MILLIS);
    assertEquals(service.count(ScriptedService.PRIMARY, MemberCommand.RollBack.class), 1);
    int open = nodes.values().stream().mapToInt(node -> node.server.streams()).sum();
    assertEquals(open, 0);
  }

  @Test
  public void aTransactionIsRolledBackWhenTheLinkBetweenTheNodesBreaks() {
    StatementRequest request =
        new StatementRequest(new StatementId("t"), "WRITE x y", new Statement.Write());
    service.start(origin.table, request, StatementPlan.PRIMARY_TRANSACTION);
    service.pass(100);
    nodes.values().forEach(node -> node.server.linkLost(origin.name));
    service.pass(100);
    assertEquals(service.count(ScriptedService.PRIMARY, MemberCommand.RollBack.class), 1);
  }

  @Test
  public void aNodeThatGetsNoConnectionUsesAnotherHolder() {
    Node holder = nodes.get(firstHolder(ScriptedService.PRIMARY));
    String member = ScriptedService.PRIMARY;
    holder.table.update(ScriptedService.image(NODES).apply(withoutMembers()));
    service.setFull(true);
    holder.table.update(ScriptedService.image(NODES));
    service.pass(50);
    StatementRequest request =
        new StatementRequest(new StatementId("w"), "WRITE x y", new Statement.Write());
    service.start(holder.table, request, StatementPlan.WRITE);
    service.pass(100);
    assertEquals(service.completed(), 1, "through another holder of " + member);
    assertEquals(writesRun(), 1);
  }

  @Test
  public void anAnswerToAnEarlierIncarnationIsNotTakenForAnAnswerToThisOne() {
    service.workMillis = 100;
    write("former");
    service.pass(50);
    origin = new Node(origin.number, 1L << Integer.SIZE);
    nodes.put(origin.name, origin);
    service.pass(20);
    write("present");
    service.pass(300);
    assertEquals(service.answers.size(), 1);
    assertEquals(service.answers.get(0).text(), "signed present");
  }

  /** A document without routes, so that all links end. */
  private static ClusterChange withoutMembers() {
    return new ClusterChange.DocumentReplaced(
        new RoutingDocument(2, List.of(), List.of(), SessionLimits.DEFAULT, List.of(), ""));
  }
}
