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
 * Statements of a node without connections of its own, brought to members through other nodes. The
 * fleet has more nodes than the members accept connections.
 */
public class StatementRelayTest {
  private static final int NODES = ScriptedService.CONNECTIONS + 5;
  private static final long WAY_MILLIS = 5;
  private static final long REST_MILLIS = 3_000;
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
              () -> REST_MILLIS,
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
  private final Set<String> silent = new HashSet<>();
  private final Set<String> down = new HashSet<>();
  private Node origin;

  @BeforeMethod
  public void startFleet() {
    nodes.clear();
    silent.clear();
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

  /** Brings a message over, as bytes, unless an end of the way is silent or down. */
  private void carry(String from, String to, Object message) {
    if (down.contains(to)) {
      service.worker.schedule(
          WAY_MILLIS, () -> nodes.get(from).client.undelivered(to, List.of(message)));
      return;
    }
    byte[] bytes = CODEC.encode(message);
    service.worker.schedule(
        WAY_MILLIS,
        () -> {
          if (silent.contains(to) || silent.contains(from)) {
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

  /** The holder that all nodes ask first. */
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
   * As in an incident: of 72 proxies 53 lost power, and two members of five had no holder left on a
   * partition's larger side. Their statements waited until their time was over, for 5 s, although
   * living proxies reached the members; the answers of such statements told it.
   */
  @Test
  public void anotherNodeStandsInWhileAllHoldersAreSilent() {
    silent.addAll(holders(ScriptedService.PRIMARY));
    for (int i = 0; i < 15; i++) {
      write("early" + i);
      service.pass(100);
    }
    for (int i = 0; i < 10; i++) {
      write("late" + i);
      service.pass(100);
    }
    assertEquals(service.completed("late"), 10, "served by a node that stands in");
    long connections = service.count(ScriptedService.PRIMARY, MemberCommand.Introduce.class);
    assertTrue(connections < ScriptedService.CONNECTIONS, connections + " connections");
  }

  @Test
  public void aNodeThatStoodInEndsItsConnectionsOnceTheHoldersAreBack() {
    Set<String> holders = holders(ScriptedService.PRIMARY);
    silent.addAll(holders);
    for (int i = 0; i < 15; i++) {
      write("w" + i);
      service.pass(100);
    }
    assertTrue(holders(ScriptedService.PRIMARY).size() > holders.size(), "a node stands in");
    silent.clear();
    for (int i = 0; i < 30; i++) {
      write("v" + i);
      service.pass(100);
    }
    assertEquals(holders(ScriptedService.PRIMARY), holders);
    assertTrue(service.completed() >= 30, service.completed() + " served");
  }

  /** Holders that have just started, or have an older image, know better a moment later. */
  @Test
  public void holdersThatDoNotKnowTheMemberYetAreAskedAgainSoon() {
    Set<String> holders = holders(ScriptedService.PRIMARY);
    holders.forEach(
        name -> nodes.get(name).table.update(ScriptedService.image(NODES).apply(withoutMembers())));
    write("w");
    service.pass(60);
    assertTrue(toldByHolders() > 0, "holders tell that they hold nothing");
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

  /** A standby has links, but statements of its own callers take the owner's slots too. */
  @Test
  public void aStandbyBringsItsOwnStatementsToTheOwner() {
    String owner = firstHolder(ScriptedService.PRIMARY);
    origin = nodes.get(share(ScriptedService.PRIMARY, origin.name).holders().get(1));
    write("w");
    service.pass(4 * WAY_MILLIS);
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

  /** Each transaction holds a link; a standby's own part is one here. */
  @Test
  public void aStandbyHasTheOwnersPartWhileTheOwnerIsDown() {
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

  /** Else the standbys would send a crowded member more than its slots take. */
  @Test
  public void whatTheOwnerHasNoRoomForIsNotBroughtToAStandby() {
    service.workMillis = 5 * ScriptedService.TARGET_MILLIS;
    String owner = firstHolder(ScriptedService.PRIMARY);
    for (int i = 0; i < 40; i++) {
      write("w" + i);
    }
    service.pass(ScriptedService.TARGET_MILLIS / 2 + 8 * WAY_MILLIS);
    for (Node node : nodes.values()) {
      int streams = node.name.equals(owner) ? ScriptedService.SLOTS : 0;
      assertEquals(node.server.streams(), streams, node.name);
    }
    assertEquals(writesRun(), ScriptedService.SLOTS);
  }

  @Test
  public void aHolderThatIsDownIsLeftForAnother() {
    down.add(firstHolder(ScriptedService.PRIMARY));
    write("w");
    service.pass(200);
    assertEquals(service.completed(), 1);
    assertEquals(writesRun(), 1);
  }

  @Test
  public void aHolderThatStopsIsLeftForAnother() {
    nodes.get(firstHolder(ScriptedService.PRIMARY)).server.stopAccepting();
    write("w");
    service.pass(200);
    assertEquals(service.completed(), 1);
    assertEquals(writesRun(), 1);
  }

  @Test
  public void aWriteThatWentToASilentHolderIsUnknownAndNotSentAgain() {
    write("u");
    service.pass(100);
    silent.add(firstHolder(ScriptedService.PRIMARY));
    write("w");
    service.pass(700);
    assertEquals(service.answers.size(), 2);
    assertEquals(service.answers.get(1).code(), AnswerCode.OUTCOME_UNKNOWN);
    assertEquals(writesRun(), 1);
    write("v");
    service.pass(200);
    assertEquals(service.completed(), 2, "others are asked meanwhile");
  }

  /** Lets a write be under way at the member through its first holder. */
  private String holderOfRunningWrite() {
    service.workMillis = 50;
    write("w");
    service.pass(8 * WAY_MILLIS);
    assertEquals(writesRun(), 1);
    return firstHolder(ScriptedService.PRIMARY);
  }

  /** Guards against a second run (TWICE) when the end of a link is heard after what it dropped. */
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

  /** Guards against a second run (TWICE) when an old word is heard after a new link has opened. */
  @Test
  public void aWriteOnANewLinkIsNotSentAgainWhenItIsHeardThatAnEarlierMessageWasDropped() {
    String holder = holderOfRunningWrite();
    origin.client.undelivered(holder, List.of(new RelayMessage.Close(1)));
    service.pass(1_000);
    assertEquals(writesRun(), 1);
    assertEquals(service.completed(), 1);
  }

  @Test
  public void nothingIsBroughtToAHolderThatHasNotSpoken() {
    silent.add(firstHolder(ScriptedService.PRIMARY));
    write("w");
    service.pass(700);
    assertEquals(service.completed(), 1, "another holder ran it");
    assertEquals(writesRun(), 1);
  }

  @Test
  public void whatNoHolderHasTakenIsRefusedAndNotInDoubt() {
    silent.addAll(nodes.keySet());
    write("w");
    service.pass(ScriptedService.TARGET_MILLIS);
    assertEquals(service.answers.size(), 1);
    assertEquals(service.answers.get(0).code(), AnswerCode.BUSY);
    silent.clear();
    service.pass(ScriptedService.TARGET_MILLIS);
    assertEquals(writesRun(), 0, "it has not run, and does not run later");
  }

  @Test
  public void aSilentHolderIsAskedAgainOnceItSpeaks() {
    String holder = firstHolder(ScriptedService.PRIMARY);
    silent.add(holder);
    write("w");
    service.pass(1_000);
    silent.clear();
    service.pass(1_000);
    write("v");
    service.pass(WAY_MILLIS + 2);
    assertEquals(nodes.get(holder).server.streams(), 1);
  }

  @Test
  public void whatWaitsForTooLongIsRefusedBeforeItsTimeIsOverAndHasNotRun() {
    service.workMillis = 5 * ScriptedService.TARGET_MILLIS;
    int links = 4 * 2;
    for (int i = 0; i < 2 * links; i++) {
      write("w" + i);
    }
    service.pass(ScriptedService.TARGET_MILLIS / 2 + 8 * WAY_MILLIS);
    long refused =
        service.answers.stream().filter(answer -> answer.code() == AnswerCode.BUSY).count();
    assertEquals(refused, service.answers.size(), "nobody is left in doubt so early");
    assertTrue(refused >= links, refused + " are refused");
    assertEquals(writesRun() + refused, 2 * links, "what was refused has not run");
    assertTrue(toldByHolders() >= refused, toldByHolders() + " refusals are told by holders");
  }

  /** Guards against a write in doubt that its holder refused when its time was just over. */
  @Test
  public void aHoldersRefusalComesBeforeTheTimeOfALateStatementIsOver() {
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

  private long toldByHolders() {
    return nodes.values().stream().mapToLong(node -> node.log.refusedForOthers()).sum();
  }

  @Test
  public void aTransactionOfASenderThatIsGoneIsRolledBack() {
    StatementRequest request =
        new StatementRequest(new StatementId("t"), "WRITE x y", new Statement.Write());
    service.start(origin.table, request, StatementPlan.PRIMARY_TRANSACTION);
    service.pass(100);
    assertEquals(service.count(ScriptedService.PRIMARY, MemberCommand.RollBack.class), 0);
    silent.add(origin.name);
    service.pass(2 * REST_MILLIS);
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
  public void aNodeThatGetsNoConnectionAsksAnother() {
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
  public void anAnswerToAFormerRunOfANodeIsNotTakenForAnAnswerToThisRun() {
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
