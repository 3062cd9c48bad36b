package org.streamcourse.lab.soak;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.streamcourse.lab.fleet.Fleet;
import org.streamcourse.lab.relay.Relay;

/** Injects faults of connections at the relays. */
final class RouteFaults {
  private final Fleet fleet;

  RouteFaults(Fleet fleet) {
    this.fleet = fleet;
  }

  /** Injects a fault and undoes it after its duration; returns the number of routes. */
  String run(Fault.RouteFault fault, long lastsMillis) throws InterruptedException {
    List<Relay> relays =
        fleet.relays().entrySet().stream()
            .filter(each -> fault.routes().contains(each.getKey()))
            .map(Map.Entry::getValue)
            .toList();
    relays.forEach(each -> begin(fault, each));
    if (!(fault instanceof Fault.ResetConnections)) {
      TimeUnit.MILLISECONDS.sleep(lastsMillis);
    }
    relays.forEach(each -> end(fault, each));
    return relays.size() + " routes";
  }

  private static void begin(Fault.RouteFault fault, Relay relay) {
    if (fault instanceof Fault.SlowRoutes slow) {
      relay.setExtraDelayMicros(slow.micros());
    } else if (fault instanceof Fault.ResetConnections) {
      relay.breakConnections();
    } else if (fault instanceof Fault.CutOneWay oneWay) {
      relay.cut(oneWay.direction());
    } else {
      relay.cut();
    }
  }

  private static void end(Fault.RouteFault fault, Relay relay) {
    if (fault instanceof Fault.SlowRoutes) {
      relay.setExtraDelayMicros(0);
    } else if (fault instanceof Fault.SilenceConnections) {
      relay.healNewConnectionsOnly();
    } else if (!(fault instanceof Fault.ResetConnections)) {
      relay.heal();
    }
  }
}
