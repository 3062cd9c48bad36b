package org.streamcourse.lab.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import org.streamcourse.process.settings.HostPort;

/**
 * Allocates free loopback ports, each once. The ports lie below the ephemeral range, so that no
 * outgoing connection takes one between its allocation and the start of the process that listens on
 * it. They come from blocks; a block is reserved by listening on its first port, so that fleets
 * that run at the same time, also in other lab processes, get different ports.
 */
public final class Ports implements AutoCloseable {
  private static final String LOOPBACK = "127.0.0.1";
  private static final int FIRST = 10_000;

  /** First port of Linux' default ephemeral range. */
  private static final int END = 32_768;

  /** Ports in a block; a fleet of about 13 processes with relays needs two blocks. */
  private static final int BLOCK = 100;

  private static final int BLOCKS = (END - FIRST) / BLOCK;

  private static int nextBlock = (int) (ProcessHandle.current().pid() % BLOCKS);

  private final List<ServerSocket> reservations = new ArrayList<>();
  private int next;
  private int end;

  /** Creates an allocator; the first call of {@link #next} reserves its first block. */
  public Ports() {
    // Starts without a block.
  }

  /**
   * Allocates a free port.
   *
   * @return loopback address with the port
   * @throws IOException when no block of ports is free
   */
  public synchronized HostPort next() throws IOException {
    while (true) {
      if (next == end) {
        reserveBlock();
      }
      int port = next++;
      if (isFree(port)) {
        return new HostPort(LOOPBACK, port);
      }
    }
  }

  /** Releases the blocks; no process may listen on their ports any more. */
  @Override
  public synchronized void close() {
    reservations.forEach(Ports::release);
    reservations.clear();
    next = end;
  }

  private void reserveBlock() throws IOException {
    for (int i = 0; i < BLOCKS; i++) {
      int first = FIRST + nextBlockIndex() * BLOCK;
      if (reserve(first)) {
        next = first + 1;
        end = first + BLOCK;
        return;
      }
    }
    throw new IOException("no block of ports from " + FIRST + " to " + (END - 1) + " is free");
  }

  private static synchronized int nextBlockIndex() {
    int block = nextBlock;
    nextBlock = (block + 1) % BLOCKS;
    return block;
  }

  private boolean reserve(int port) {
    try {
      reservations.add(listen(port));
      return true;
    } catch (IOException e) {
      // Another fleet has reserved the block; the caller tries the next one.
      return false;
    }
  }

  private static void release(ServerSocket reservation) {
    try {
      reservation.close();
    } catch (IOException e) {
      // The socket closes at the end of this process.
    }
  }

  private static boolean isFree(int port) {
    try (ServerSocket probe = listen(port)) {
      return probe.isBound();
    } catch (IOException e) {
      // Another process listens on the port; the caller tries the next one.
      return false;
    }
  }

  private static ServerSocket listen(int port) throws IOException {
    return new ServerSocket(port, 1, InetAddress.getByName(LOOPBACK));
  }
}
