package org.streamcourse.lab.process;

import java.nio.file.Files;
import java.sql.Connection;
import java.util.List;
import org.streamcourse.lab.fleet.Fleet;
import org.streamcourse.lab.fleet.Profile;
import org.streamcourse.process.settings.HostPort;

/** A fleet of real processes that several test classes share; started at first use. */
final class SharedFleet {
  private static Fleet fleet;

  private SharedFleet() {}

  static synchronized Fleet get() throws Exception {
    if (fleet == null) {
      Fleet starting =
          new Fleet(
              Profile.STATIONS,
              Files.createTempDirectory("streamcourse-test"),
              Fleet.Options.DEFAULT);
      Runtime.getRuntime().addShutdownHook(new Thread(starting::close));
      starting.start();
      fleet = starting;
    }
    return fleet;
  }

  static HostPort anyProxy() throws Exception {
    return get().proxies().get(0).callers();
  }

  static List<HostPort> proxies() throws Exception {
    return get().proxies().stream().map(Fleet.ProxyHandle::callers).toList();
  }

  /** Opens a caller's connection to the first database through the first proxy. */
  static Connection connect() throws Exception {
    return Fleet.connect(anyProxy(), database(), "");
  }

  static String database() {
    return Profile.STATIONS.databases().get(0);
  }
}
