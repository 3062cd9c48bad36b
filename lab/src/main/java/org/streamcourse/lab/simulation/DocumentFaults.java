package org.streamcourse.lab.simulation;

import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;

/** Faults around changes of the routing document. */
final class DocumentFaults {
  private static final long TRAFFIC_MILLIS = 9_000;
  private static final long CHANGE_MILLIS = 120;
  private static final long STORM_MILLIS = 15;
  private static final long RACE_MILLIS = 300;
  private static final long MAX_STRIKE_DELAY_MILLIS = 3_000;

  /** Time within which a write is under way when the power is lost. */
  private static final int MAX_WRITE_MILLIS = 20;

  private static final long MIN_RESTART_MILLIS = 300;
  private static final long MAX_RESTART_MILLIS = 2_700;
  private static final long RESTART_INTERVAL_MILLIS = 700;
  private static final int MIN_SHORT_RESTART_MILLIS = 50;
  private static final int MAX_SHORT_RESTART_MILLIS = 400;

  private DocumentFaults() {}

  private static DocumentTraffic observed(ServiceWorld world) {
    DocumentTraffic traffic = new DocumentTraffic(world);
    traffic.observe();
    traffic.probe();
    world.expectReads();
    return traffic;
  }

  /** All controllers and proxies lose power right after a change was acknowledged. */
  static void losePower(ServiceWorld world) {
    losePowerAfterChange(world, "");
  }

  /** As {@link #losePower}, and one controller loses its disk. */
  static void losePowerAndDisk(ServiceWorld world) {
    List<String> all = world.controllers().names();
    losePowerAfterChange(world, all.get(world.random().nextInt(all.size())));
  }

  private static void losePowerAfterChange(ServiceWorld world, String withoutDisk) {
    DocumentTraffic traffic = observed(world);
    traffic.repeat(CHANGE_MILLIS, TRAFFIC_MILLIS, traffic::change);
    world.after(
        world.random().nextLong(MAX_STRIKE_DELAY_MILLIS),
        () -> traffic.onNextAcknowledgement(() -> strike(world, traffic, withoutDisk)));
  }

  private static void strike(ServiceWorld world, DocumentTraffic traffic, String withoutDisk) {
    UniformRandomProvider random = world.random();
    for (String controller : world.controllers().names()) {
      if (random.nextBoolean()) {
        world.controllers().losePowerDuringWrite(controller);
      }
    }
    world.after(
        random.nextInt(MAX_WRITE_MILLIS),
        () -> {
          traffic.stop();
          world.faults().count("power-lost");
          world.checks().event("power is lost; lost disk: '" + withoutDisk + "'");
          world.controllers().names().stream()
              .filter(name -> !world.controllers().isUp(name))
              .forEach(any -> world.faults().count("power-lost-during-write"));
          world.controllers().names().forEach(world.controllers()::losePower);
          world.proxies().values().forEach(proxy -> proxy.host().kill());
          if (!withoutDisk.isEmpty()) {
            world.controllers().loseDisk(withoutDisk);
          }
          restartAll(world);
        });
  }

  private static void restartAll(ServiceWorld world) {
    for (String controller : world.controllers().names()) {
      world.after(restartDelay(world), () -> world.controllers().bootIfDown(controller));
    }
    for (SimServiceProxy proxy : world.proxies().values()) {
      world.after(restartDelay(world), proxy::recover);
    }
  }

  private static long restartDelay(ServiceWorld world) {
    return MIN_RESTART_MILLIS + world.random().nextLong(MAX_RESTART_MILLIS);
  }

  /** Operators send two contents under one version, while the leading controller is killed. */
  static void race(ServiceWorld world) {
    DocumentTraffic traffic = observed(world);
    traffic.repeat(RACE_MILLIS, TRAFFIC_MILLIS, traffic::race);
    traffic.repeat(RACE_MILLIS, TRAFFIC_MILLIS, traffic::repeatFormer);
    for (int i = 0; i < 3; i++) {
      world.after(
          i * 2_500L + world.random().nextLong(MAX_STRIKE_DELAY_MILLIS),
          () -> world.controllers().leader().ifPresent(each -> restart(world, each)));
    }
  }

  /** Operators send invalid documents and former ones among valid ones. */
  static void mixInvalid(ServiceWorld world) {
    DocumentTraffic traffic = observed(world);
    traffic.repeat(CHANGE_MILLIS * 3, TRAFFIC_MILLIS, traffic::change);
    traffic.repeat(CHANGE_MILLIS, TRAFFIC_MILLIS, traffic::sendInvalid);
    traffic.repeat(CHANGE_MILLIS, TRAFFIC_MILLIS, traffic::repeatFormer);
  }

  /** Operators send many changes at once. */
  static void storm(ServiceWorld world) {
    DocumentTraffic traffic = observed(world);
    traffic.repeat(STORM_MILLIS, TRAFFIC_MILLIS / 3, traffic::change);
    traffic.repeat(RACE_MILLIS, TRAFFIC_MILLIS, traffic::repeatFormer);
    world.after(
        world.random().nextLong(MAX_STRIKE_DELAY_MILLIS),
        () -> world.controllers().leader().ifPresent(each -> restart(world, each)));
  }

  /** Controllers are restarted while results of calls that they forwarded are held for them. */
  static void holdResults(ServiceWorld world) {
    world.network().heldMessages().enable();
    DocumentTraffic traffic = observed(world);
    traffic.repeat(CHANGE_MILLIS / 2, TRAFFIC_MILLIS, traffic::change);
    traffic.repeat(RACE_MILLIS, TRAFFIC_MILLIS, traffic::repeatFormer);
    traffic.repeat(RACE_MILLIS, TRAFFIC_MILLIS, traffic::sendInvalid);
    for (long at = 0; at < TRAFFIC_MILLIS; at += RESTART_INTERVAL_MILLIS) {
      world.after(at, () -> restartFollower(world));
    }
  }

  /** Proxies are restarted while replies to their heartbeats are held for them. */
  static void holdReplies(ServiceWorld world) {
    world.network().heldMessages().enable();
    DocumentTraffic traffic = observed(world);
    traffic.repeat(CHANGE_MILLIS, TRAFFIC_MILLIS, traffic::change);
    List<SimServiceProxy> proxies = List.copyOf(world.proxies().values());
    for (long at = 0; at < TRAFFIC_MILLIS; at += RESTART_INTERVAL_MILLIS / 2) {
      world.after(at, () -> restart(world, proxies.get(world.random().nextInt(proxies.size()))));
    }
    world.after(
        world.random().nextLong(TRAFFIC_MILLIS),
        () -> world.controllers().leader().ifPresent(each -> restart(world, each)));
  }

  private static void restart(ServiceWorld world, SimServiceProxy proxy) {
    world.faults().count("proxy-restarted");
    world.checks().event("restarts " + proxy.host().name());
    proxy.host().kill();
    world.after(
        MIN_SHORT_RESTART_MILLIS + world.random().nextInt(MAX_SHORT_RESTART_MILLIS),
        proxy::recover);
  }

  private static void restartFollower(ServiceWorld world) {
    String leader = world.controllers().leader().orElse("");
    List<String> followers =
        world.controllers().names().stream().filter(name -> !name.equals(leader)).toList();
    restart(world, followers.get(world.random().nextInt(followers.size())));
  }

  private static void restart(ServiceWorld world, String controller) {
    world.faults().count("controller-restarted");
    world.checks().event("restarts " + controller);
    world.controllers().kill(controller);
    world.after(
        MIN_SHORT_RESTART_MILLIS + world.random().nextInt(MAX_SHORT_RESTART_MILLIS),
        () -> world.controllers().bootIfDown(controller));
  }
}
