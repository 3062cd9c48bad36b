package org.streamcourse.lab.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import org.streamcourse.process.settings.HostPort;

/**
 * Gives out free loopback ports, each once. They lie below those that the system gives to outgoing
 * connections, so none is taken between its choice and the start of the process that listens there.
 * Each lab process begins in a block of its own, so that fleets that start at the same time do not
 * choose the same ones.
 */
public final class Ports {
  private static final String LOOPBACK = "127.0.0.1";
  private static final int FIRST = 10_000;

  /** Linux gives outgoing connections ports from 32,768 on. */
  private static final int END = 32_768;

  /** Ports of a fleet of some 13 processes with their relays, and room. */
  private static final int BLOCK = 400;

  private static final int BLOCKS = (END - FIRST) / BLOCK;

  private static int next = FIRST + (int) (ProcessHandle.current().pid() % BLOCKS) * BLOCK;

  /**
   * Finds a free port.
   *
   * @return loopback address with the port
   * @throws IOException when no port can be had
   */
  public HostPort next() throws IOException {
    for (int i = FIRST; i < END; i++) {
      int port = advance();
      if (isFree(port)) {
        return new HostPort(LOOPBACK, port);
      }
    }
    throw new IOException("no port from " + FIRST + " to " + (END - 1) + " is free");
  }

  private static synchronized int advance() {
    int port = next;
    next = port + 1 < END ? port + 1 : FIRST;
    return port;
  }

  private static boolean isFree(int port) {
    try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName(LOOPBACK))) {
      return probe.isBound();
    } catch (IOException e) {
      // Another process listens there; the next port is tried.
      return false;
    }
  }
}
