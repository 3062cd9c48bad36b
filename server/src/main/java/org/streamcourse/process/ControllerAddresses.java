package org.streamcourse.process;

import java.time.Duration;
import java.util.List;
import org.streamcourse.connection.peer.PeerAddress;
import org.streamcourse.process.settings.HostPort;

/** Names processes by the address of their peer link port, so that a name suffices to connect. */
final class ControllerAddresses {
  /** A link is considered stuck if its peer sends nothing for this long after a write. */
  static final Duration LINK_TIMEOUT = Duration.ofMillis(1_000);

  private ControllerAddresses() {}

  /** Returns the names of the controllers at the hosts of the given addresses. */
  static List<String> names(List<HostPort> seeds, int linkPort) {
    return seeds.stream().map(seed -> new HostPort(seed.host(), linkPort).toString()).toList();
  }

  /** Parses the name of a process as its address; null if the name is not an address. */
  static PeerAddress addressOf(String name) {
    try {
      HostPort address = HostPort.parse(name);
      return new PeerAddress(address.host(), address.port());
    } catch (IllegalArgumentException e) {
      return null;
    }
  }
}
