package standins2;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A path between the machines and one member. Its open connections can go silent for good, without
 * a reset, while new ones work. The member drops a connection whose far end is dark after 3 s.
 */
public final class Tunnel {
  private static final long DARK_MILLIS = 3_000;

  private static final class Pair {
    private final Socket near;
    private final Socket far;
    private volatile boolean silent;

    Pair(Socket near, Socket far) {
      this.near = near;
      this.far = far;
    }
  }

  private final ServerSocket server = new ServerSocket();
  private final String host;
  private final int port;
  private final Set<Pair> pairs = ConcurrentHashMap.newKeySet();

  public Tunnel(String listenHost, String target) throws IOException {
    int colon = target.lastIndexOf(':');
    host = target.substring(0, colon);
    port = Integer.parseInt(target.substring(colon + 1));
    server.bind(new InetSocketAddress(InetAddress.getByName(listenHost), 0), 200);
    Member.daemon(this::accept).start();
  }

  public String address() {
    return server.getInetAddress().getHostAddress() + ':' + server.getLocalPort();
  }

  /** Makes all open connections silent; returns their number. */
  public int silence() {
    int count = 0;
    for (Pair pair : pairs) {
      if (!pair.silent) {
        pair.silent = true;
        count++;
        Member.daemon(() -> dropFarEnd(pair)).start();
      }
    }
    return count;
  }

  private static void dropFarEnd(Pair pair) {
    try {
      Thread.sleep(DARK_MILLIS);
      pair.far.close();
    } catch (InterruptedException | IOException e) {
      // The connection has ended already.
    }
  }

  private void accept() {
    while (true) {
      try {
        Socket near = server.accept();
        Socket far = new Socket(host, port);
        near.setTcpNoDelay(true);
        far.setTcpNoDelay(true);
        Pair pair = new Pair(near, far);
        pairs.add(pair);
        Member.daemon(() -> pump(pair, near, far)).start();
        Member.daemon(() -> pump(pair, far, near)).start();
      } catch (IOException e) {
        if (server.isClosed()) {
          return;
        }
      }
    }
  }

  private void pump(Pair pair, Socket from, Socket to) {
    byte[] bytes = new byte[65_536];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      int count = in.read(bytes);
      while (count >= 0) {
        if (!pair.silent) {
          out.write(bytes, 0, count);
        }
        count = in.read(bytes);
      }
    } catch (IOException e) {
      // Handled below.
    }
    if (pair.silent) {
      return;
    }
    pairs.remove(pair);
    try {
      pair.near.close();
      pair.far.close();
    } catch (IOException e) {
      // Closed all the same.
    }
  }
}
