package org.streamcourse.lab.workload;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.streamcourse.process.settings.HostPort;

/**
 * A server with PostgreSQL's protocol that accepts settings, refuses all other statements, and
 * closes a connection after a number of refusals, as a draining proxy does.
 */
final class RefusingServer implements AutoCloseable {
  private static final String LOOPBACK = "127.0.0.1";
  private static final int SSL_REQUEST = 80_877_103;

  private final ServerSocket server;
  private final int refusalsBeforeClose;
  private final List<AtomicInteger> refusals = new CopyOnWriteArrayList<>();

  RefusingServer(int refusalsBeforeClose) throws IOException {
    this.refusalsBeforeClose = refusalsBeforeClose;
    server = new ServerSocket(0, 16, InetAddress.getByName(LOOPBACK));
    startThread(this::accept);
  }

  HostPort address() {
    return new HostPort(LOOPBACK, server.getLocalPort());
  }

  /** Returns the number of refused requests by connection, in the order of connecting. */
  List<Integer> refusals() {
    return refusals.stream().map(AtomicInteger::get).toList();
  }

  @Override
  public void close() throws IOException {
    server.close();
  }

  private static void startThread(Runnable task) {
    Thread thread = new Thread(task, "refusing-server");
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = server.accept();
        startThread(() -> serve(socket));
      }
    } catch (IOException e) {
      // The test has closed the server.
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      DataInputStream in = new DataInputStream(socket.getInputStream());
      DataOutputStream out = new DataOutputStream(socket.getOutputStream());
      logIn(in, out);
      AtomicInteger refused = new AtomicInteger();
      refusals.add(refused);
      while (refused.get() < refusalsBeforeClose) {
        answer(in, out, refused);
      }
    } catch (IOException e) {
      // The caller has closed the connection.
    }
  }

  private static void logIn(DataInputStream in, DataOutputStream out) throws IOException {
    int code = startupCode(in);
    if (code == SSL_REQUEST) {
      out.writeByte('N');
      startupCode(in);
    }
    send(out, 'R', new byte[Integer.BYTES]);
    send(out, 'S', text("server_version", "14.0"));
    send(out, 'S', text("client_encoding", "UTF8"));
    send(out, 'S', text("standard_conforming_strings", "on"));
    send(out, 'Z', new byte[] {'I'});
  }

  private static int startupCode(DataInputStream in) throws IOException {
    int length = in.readInt();
    int code = in.readInt();
    in.readFully(new byte[length - 2 * Integer.BYTES]);
    return code;
  }

  /** Reads the messages up to a Sync and answers them. */
  private static void answer(DataInputStream in, DataOutputStream out, AtomicInteger refused)
      throws IOException {
    boolean isSetting = false;
    int type = in.readByte();
    while (type != 'S') {
      byte[] body = new byte[in.readInt() - Integer.BYTES];
      in.readFully(body);
      if (type == 'P') {
        isSetting = new String(body, StandardCharsets.UTF_8).contains("SET ");
      }
      type = in.readByte();
    }
    in.readInt();
    if (isSetting) {
      send(out, '1', new byte[0]);
      send(out, '2', new byte[0]);
      send(out, 'n', new byte[0]);
      send(out, 'C', text("SET"));
    } else {
      refused.incrementAndGet();
      send(out, 'E', text("SERROR", "C57P03", "Mnot run: stopping", ""));
    }
    send(out, 'Z', new byte[] {'I'});
  }

  private static byte[] text(String... parts) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    for (String part : parts) {
      bytes.writeBytes(part.getBytes(StandardCharsets.UTF_8));
      bytes.write(0);
    }
    return bytes.toByteArray();
  }

  private static void send(DataOutputStream out, char type, byte[] body) throws IOException {
    ByteArrayOutputStream message = new ByteArrayOutputStream();
    DataOutputStream data = new DataOutputStream(message);
    data.writeByte(type);
    data.writeInt(body.length + Integer.BYTES);
    data.write(body);
    out.write(message.toByteArray());
  }
}
