package org.streamcourse.lab.simulation;

import java.util.ArrayList;
import java.util.List;
import org.streamcourse.version.control.ServiceCall;
import org.streamcourse.version.image.RouteConsistency;
import org.streamcourse.version.image.RouteRule;
import org.streamcourse.version.image.RoutingDocument;
import org.streamcourse.version.image.ServiceRules;
import org.streamcourse.version.image.SessionLimits;

/** A simulated operator: sends routing documents and reads them back. */
final class SimOperator {
  private static final long RESEND_MILLIS = 1_000;

  private final ServiceWorld world;
  private long documentVersion;

  SimOperator(ServiceWorld world) {
    this.world = world;
  }

  static String databaseOf(RouteConsistency consistency) {
    return "db-" + consistency.name().toLowerCase(java.util.Locale.ROOT);
  }

  /** Sends the next version of the document, again and again until it is acknowledged. */
  void replaceDocument() {
    documentVersion += 1 + world.random().nextInt(3);
    RoutingDocument document = document(documentVersion);
    boolean[] done = new boolean[1];
    sendDocument(document, done, world.random().nextInt(World.CONTROLLERS.size()));
  }

  private RoutingDocument document(long version) {
    List<RouteRule> routes = new ArrayList<>();
    for (RouteConsistency consistency : RouteConsistency.values()) {
      long staleness = consistency == RouteConsistency.PRIMARY ? 0 : ServiceWorld.STALENESS_MILLIS;
      routes.add(
          new RouteRule(
              databaseOf(consistency),
              ServiceWorld.SERVICE,
              consistency,
              800,
              600,
              1,
              2,
              staleness));
    }
    return new RoutingDocument(
        version,
        routes,
        List.of(
            new ServiceRules(
                ServiceWorld.SERVICE,
                world.size().maxConnections(),
                world.size().synchronousReplicas())),
        new SessionLimits(3_000),
        "source of " + version);
  }

  private void sendDocument(RoutingDocument document, boolean[] done, int turn) {
    if (done[0]) {
      return;
    }
    String controller = World.CONTROLLERS.get(turn % World.CONTROLLERS.size());
    world.call(
        operatorHost(),
        controller,
        new ServiceCall.ReplaceDocument(document),
        result -> {
          if (!done[0] && result.status() == ServiceCall.Status.DONE) {
            done[0] = true;
            world.checks().documentAcknowledged(document.version());
          }
        });
    world.after(RESEND_MILLIS, () -> sendDocument(document, done, turn + 1));
  }

  /** Reads the document at a controller. */
  void fetchDocument() {
    long sentMillis = world.nowMillis();
    String controller = World.CONTROLLERS.get(world.random().nextInt(World.CONTROLLERS.size()));
    world.call(
        operatorHost(),
        controller,
        new ServiceCall.FetchDocument(),
        result -> {
          if (result.status() == ServiceCall.Status.DONE) {
            String[] words = result.text().split(" ");
            world.checks().documentRead(Long.parseLong(words[words.length - 1]), sentMillis);
          }
        });
  }

  /** The operator's calls travel as if from the first proxy's machine, whose links may be cut. */
  private static String operatorHost() {
    return "p1";
  }
}
