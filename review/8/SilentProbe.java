package standins2;

import java.nio.file.Path;

/**
 * All open connections between the machines and the members go silent at one moment, while new
 * ones work. Clients only read, on a bounded_stale route.
 */
public final class SilentProbe {
  private static final double GATE = 0.6;

  private SilentProbe() {}

  public static void main(String[] folders) throws Exception {
    World world = new World(Path.of(folders[0]), Path.of(folders[1]), 3, 3, 36, 30, true);
    world.start();
    Requests all = new Requests(world, "guide", "READ warm");
    all.run("before", 12, 1_000, 6_000);
    world.record.say("before: " + all);
    if (world.trouble) {
      for (Tunnel tunnel : world.tunnels) {
        world.record.say("silent connections to " + tunnel.address() + ": " + tunnel.silence());
      }
    }
    // The bounds that hold in touch start again after contact-ms, 5 s.
    Thread.sleep(6_000);
    int servedBefore = all.served.get();
    all.run("after", 24, 1_000, 45_000);
    world.end(
        all.unservedShare() > GATE,
        "all requests: " + all + ", of these served later than 6 s after the silence "
            + (all.served.get() - servedBefore) + "; refused or failed "
            + Math.round(100 * all.unservedShare()) + "% (at most 60% allowed)");
  }
}
