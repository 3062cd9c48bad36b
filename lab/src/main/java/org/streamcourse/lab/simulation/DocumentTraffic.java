package org.streamcourse.lab.simulation;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.streamcourse.connection.session.ClientChannel;
import org.streamcourse.connection.session.ClientMessage;
import org.streamcourse.connection.session.ClientSession;
import org.streamcourse.request.statement.Answer;
import org.streamcourse.request.statement.AnswerCode;
import org.streamcourse.version.control.ServiceCall;
import org.streamcourse.version.image.RouteRule;
import org.streamcourse.version.image.RoutingDocument;

/**
 * Operators that send documents to all controllers at once, read them back, and open sessions for
 * databases that the documents add and remove.
 */
final class DocumentTraffic {
  private static final long RESEND_MILLIS = 1_000;
  private static final long READ_MILLIS = 150;
  private static final long PROBE_MILLIS = 200;

  /** Time after which the answer to a session that is opened no longer counts. */
  private static final long PROBE_TIMEOUT_MILLIS = 4_000;

  /** Number of newest documents whose databases a document keeps. */
  private static final int KEPT_DATABASES = 2;

  private static final int PROBED_DATABASES = 8;
  private static final String OPERATOR_HOST = "p1";

  private final ServiceWorld world;
  private final UniformRandomProvider random;
  private final List<String> controllers;
  private final List<String> databases = new ArrayList<>();
  private final List<RoutingDocument> former = new ArrayList<>();
  private Runnable onAcknowledged = () -> {};
  private boolean stopped;
  private long invalid;

  DocumentTraffic(ServiceWorld world) {
    this.world = world;
    this.random = world.random();
    this.controllers = world.controllers().names();
  }

  /** Repeats a task for some time, unless no more documents are to be sent. */
  void repeat(long intervalMillis, long durationMillis, Runnable task) {
    for (long at = 0; at < durationMillis; at += intervalMillis) {
      world.after(at, () -> ifSending(task));
    }
  }

  private void ifSending(Runnable task) {
    if (!stopped) {
      task.run();
    }
  }

  /** Sends no more new documents; those that were sent are still repeated. */
  void stop() {
    stopped = true;
  }

  /** Sets a task that runs once, on the next acknowledgement of a change. */
  void onNextAcknowledgement(Runnable task) {
    onAcknowledged = task;
  }

  // ---- documents ----

  /** Sends the next version until it is acknowledged. */
  void change() {
    RoutingDocument document = next(world.operator().nextVersion(), "");
    send(document, random.nextInt(controllers.size()));
  }

  /** Sends two contents under the next version, to two controllers at the same time. */
  void race() {
    long version = world.operator().nextVersion();
    int turn = random.nextInt(controllers.size());
    RoutingDocument first = next(version, "a");
    RoutingDocument second = next(version, "b");
    send(first, turn);
    send(second, turn + 1);
  }

  /** Repeats a document that was sent before. */
  void repeatFormer() {
    if (!former.isEmpty()) {
      RoutingDocument document = former.get(random.nextInt(former.size()));
      sendOnce(document, randomController(), () -> {});
    }
  }

  /** Sends an invalid document with a version above the newest or with an older one. */
  void sendInvalid() {
    long newest = former.isEmpty() ? 0 : former.get(former.size() - 1).version();
    long version = random.nextBoolean() ? newest + 1 : newest;
    invalid++;
    RoutingDocument valid = document(version, List.of(), "invalid " + invalid);
    RoutingDocument document =
        random.nextBoolean()
            ? new RoutingDocument(
                version, valid.routes(), List.of(), valid.limits(), valid.tenants(), valid.source())
            : withoutTimeout(valid);
    world.checks().documents().sent(document);
    world.faults().count("invalid-document");
    sendOnce(document, randomController(), () -> {});
  }

  /** Returns a document whose first route has no time for its statements. */
  private static RoutingDocument withoutTimeout(RoutingDocument valid) {
    List<RouteRule> routes = new ArrayList<>(valid.routes());
    RouteRule first = routes.get(0);
    routes.set(
        0,
        new RouteRule(
            first.database(),
            first.service(),
            first.consistency(),
            0,
            first.targetLatencyMillis(),
            first.priority(),
            first.attempts(),
            first.maxStalenessMillis(),
            first.needsKey()));
    return new RoutingDocument(
        valid.version(), routes, valid.services(), valid.limits(), valid.tenants(), valid.source());
  }

  private RoutingDocument next(long version, String suffix) {
    List<String> kept =
        new ArrayList<>(
            databases.subList(Math.max(0, databases.size() - KEPT_DATABASES), databases.size()));
    String added = "db-" + version + suffix;
    kept.add(added);
    RoutingDocument document = document(version, kept, "source " + version + suffix);
    databases.add(added);
    former.add(document);
    world.checks().documents().sent(document);
    return document;
  }

  private RoutingDocument document(long version, List<String> added, String source) {
    return world.operator().document(version, added, source);
  }

  private void send(RoutingDocument document, int firstTurn) {
    boolean[] done = new boolean[1];
    sendUntilDone(document, firstTurn, done);
  }

  private void sendUntilDone(RoutingDocument document, int turn, boolean[] done) {
    if (done[0]) {
      return;
    }
    String controller = controllers.get(turn % controllers.size());
    sendOnce(
        document,
        controller,
        () -> {
          if (!done[0]) {
            done[0] = true;
            Runnable task = onAcknowledged;
            onAcknowledged = () -> {};
            task.run();
          }
        });
    world.after(RESEND_MILLIS, () -> sendUntilDone(document, turn + 1, done));
  }

  private void sendOnce(RoutingDocument document, String controller, Runnable acknowledged) {
    world.call(
        OPERATOR_HOST,
        controller,
        new ServiceCall.ReplaceDocument(document),
        result -> {
          world.checks().documents().answered(document, result.status());
          if (result.status() == ServiceCall.Status.DONE) {
            world.checks().event(controller + " acknowledged " + document.source());
            acknowledged.run();
          }
        });
  }

  private String randomController() {
    return controllers.get(random.nextInt(controllers.size()));
  }

  // ---- observation ----

  /** Reads documents back and opens sessions until the end of the run. */
  void observe() {
    world.operator().fetchDocument();
    world.after(READ_MILLIS, this::observe);
  }

  /** Opens sessions for databases of the newest documents until the end of the run. */
  void probe() {
    if (!databases.isEmpty()) {
      int newest = Math.min(PROBED_DATABASES, databases.size());
      String database = databases.get(databases.size() - 1 - random.nextInt(newest));
      world.proxies().values().forEach(proxy -> open(proxy, database));
    }
    world.after(PROBE_MILLIS, this::probe);
  }

  private void open(SimServiceProxy proxy, String database) {
    if (!proxy.isReady()) {
      return;
    }
    Probe probe = new Probe(proxy, database, world.nowMillis());
    proxy.execute(
        proxy.host().incarnation(),
        () -> {
          ClientSession session = proxy.open(probe);
          session.receive(new ClientMessage.Start(database, SimOperator.digest("no key")));
          world.after(
              PROBE_TIMEOUT_MILLIS,
              () -> proxy.execute(proxy.host().incarnation(), session::disconnected));
        });
  }

  /** A session that only shows whether a proxy has a route for a database. */
  private final class Probe implements ClientChannel {
    private final SimServiceProxy proxy;
    private final String database;
    private final long sentMillis;

    Probe(SimServiceProxy proxy, String database, long sentMillis) {
      this.proxy = proxy;
      this.database = database;
      this.sentMillis = sentMillis;
    }

    private void answered(boolean accepted) {
      if (proxy.node().agent().isConfirmed()) {
        String node = proxy.host().name();
        world.checks().documents().databaseAnswered(node, database, accepted, sentMillis);
      }
    }

    @Override
    public void welcome() {
      answered(true);
    }

    @Override
    public void refuse(Answer error) {
      if (error.code() == AnswerCode.UNKNOWN_DATABASE) {
        answered(false);
      }
    }

    @Override
    public void answer(Answer answer) {
      // The session sends no statement.
    }

    @Override
    public void close() {
      // Nothing is left open.
    }
  }
}
