package org.streamcourse.request.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.streamcourse.connection.relay.RelayClient;
import org.streamcourse.connection.relay.RelayMessage;
import org.streamcourse.connection.relay.RelayServer;
import org.streamcourse.process.LineBudget;
import org.streamcourse.process.MessageCodec;
import org.streamcourse.request.StreamTypes;
import org.streamcourse.request.statement.Statement;
import org.streamcourse.request.statement.StatementId;
import org.streamcourse.request.statement.StatementRequest;
import org.streamcourse.version.image.MemberId;

/**
 * A fleet with more nodes than its members accept connections, so that most nodes reach members
 * through holders, on the virtual clock of a {@link ScriptedService}.
 */
final class RelayFleet {
  private static final long IDLE_TRANSACTION_MILLIS = 3_000;
  private static final long HEALTH_MILLIS = 100;
  private static final MessageCodec CODEC = StreamTypes.codec();

  /** One node. */
  final class Node {
    private final String name;
    private final RelayClient client;
    private final RelayServer server;
    final MemberTable table;

    Node(int number) {
      name = ScriptedService.node(number).name();
      client = new RelayClient(service.worker, this::carry, 0);
      table = new MemberTable(service.worker, service, client, ScriptedService.node(number));
      server =
          new RelayServer(
              service.worker,
              this::carry,
              table::held,
              () -> IDLE_TRANSACTION_MILLIS,
              new RequestLog(new LineBudget(0, service.worker::now), 0));
      connectObservations(table, server);
      table.update(ScriptedService.image(nodeCount));
      service.worker.repeat(HEALTH_MILLIS, this::check);
    }

    private void check() {
      client.check();
      server.check();
      table.checkHealth();
    }

    private void carry(String to, Object message) {
      byte[] bytes = CODEC.encode(message);
      service.worker.schedule(oneWayMillis, () -> nodes.get(to).receive(name, bytes));
    }

    private void receive(String from, byte[] bytes) {
      RelayMessage message = (RelayMessage) CODEC.decode(bytes);
      if (message.isForHolder()) {
        server.receive(from, message);
      } else {
        client.receive(from, message);
      }
    }

    RelayServer server() {
      return server;
    }

    /** Returns whether this node may open connections to the primary. */
    boolean holdsPrimary() {
      return table.held("s", new MemberId(ScriptedService.PRIMARY), false) != null;
    }

    void read(String id) {
      start(id, new Statement.Read(), "READ x", StatementPlan.ANY_READ);
    }

    /** Starts a read that must run at the primary. */
    void readAtPrimary(String id) {
      start(id, new Statement.Read(), "READ x", StatementPlan.PRIMARY_READ);
    }

    /** Begins a transaction at the primary. */
    void begin(String id) {
      start(id, new Statement.Write(), "WRITE x y", StatementPlan.PRIMARY_TRANSACTION);
    }

    void write(String id) {
      start(id, new Statement.Write(), "WRITE x y", StatementPlan.WRITE);
    }

    private void start(String id, Statement statement, String text, StatementPlan plan) {
      service.start(table, new StatementRequest(new StatementId(id), text, statement), plan);
    }
  }

  final ScriptedService service = new ScriptedService();
  private final int nodeCount;
  private final long oneWayMillis;
  private final Map<String, Node> nodes = new TreeMap<>();

  RelayFleet(int nodeCount, long oneWayMillis) {
    this.nodeCount = nodeCount;
    this.oneWayMillis = oneWayMillis;
    for (int number = 1; number <= nodeCount; number++) {
      Node node = new Node(number);
      nodes.put(node.name, node);
    }
    service.pass(100);
  }

  List<Node> nodes() {
    return new ArrayList<>(nodes.values());
  }

  private static void connectObservations(MemberTable table, RelayServer server) {
    table.setObservationListener(server::sendObservation);
  }
}
