package org.streamcourse.lab.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import org.streamcourse.process.settings.HostPort;

/**
 * Gives out free loopback ports, each once. They lie below those that the system gives to outgoing
 * connections, so none is taken between its choice and the start of the process that listens there.
 * They come from blocks that are claimed by listening at a block's first port, so that fleets that
 * run at the same time, also those of other labs, do not choose the same ones.
 */
public final class Ports implements AutoCloseable {
  private static final String LOOPBACK = "127.0.0.1";
  private static final int FIRST = 10_000;

  /** Linux gives outgoing connections ports from 32,768 on. */
  private static final int END = 32_768;

  /** Ports of a block; a fleet of some 13 processes with their relays needs two. */
  private static final int BLOCK = 100;

  private static final int BLOCKS = (END - FIRST) / BLOCK;

  private static int nextBlock = (int) (ProcessHandle.current().pid() % BLOCKS);

  private final List<ServerSocket> claims = new ArrayList<>();
  private int next;
  private int end;

  /** Claims its first block with the first port. */
  public Ports() {
    // Begins without a block.
  }

  /**
   * Finds a free port.
   *
   * @return loopback address with the port
   * @throws IOException when no port can be had
   */
  public synchronized HostPort next() throws IOException {
    while (true) {
      if (next == end) {
        claimBlock();
      }
      int port = next++;
      if (isFree(port)) {
        return new HostPort(LOOPBACK, port);
      }
    }
  }

  /** Gives the blocks back; nothing may listen at their ports any more. */
  @Override
  public synchronized void close() {
    claims.forEach(Ports::release);
    claims.clear();
    next = end;
  }

  private void claimBlock() throws IOException {
    for (int i = 0; i < BLOCKS; i++) {
      int first = FIRST + advance() * BLOCK;
      if (claims(first)) {
        next = first + 1;
        end = first + BLOCK;
        return;
      }
    }
    throw new IOException("no block of ports from " + FIRST + " to " + (END - 1) + " is free");
  }

  private static synchronized int advance() {
    int block = nextBlock;
    nextBlock = (block + 1) % BLOCKS;
    return block;
  }

  private boolean claims(int port) {
    try {
      claims.add(listen(port));
      return true;
    } catch (IOException e) {
      // Another fleet holds the block; the next one is tried.
      return false;
    }
  }

  private static void release(ServerSocket claim) {
    try {
      claim.close();
    } catch (IOException e) {
      // The process' end closes it.
    }
  }

  private static boolean isFree(int port) {
    try (ServerSocket probe = listen(port)) {
      return probe.isBound();
    } catch (IOException e) {
      // Another process listens there; the next port is tried.
      return false;
    }
  }

  private static ServerSocket listen(int port) throws IOException {
    return new ServerSocket(port, 1, InetAddress.getByName(LOOPBACK));
  }
}
