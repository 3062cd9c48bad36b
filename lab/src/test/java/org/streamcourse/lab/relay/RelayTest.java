package org.streamcourse.lab.relay;

import static org.testng.Assert.assertEquals;

import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.streamcourse.lab.fleet.Ports;
import org.streamcourse.process.settings.HostPort;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import reactor.netty.resources.LoopResources;

/** Guards against a relay that reorders bytes, or forwards the end of the stream before them. */
public class RelayTest {
  private static final String LOOPBACK = "127.0.0.1";
  private static final int NUMBERS = 300;
  private static final int READ_TIMEOUT_MILLIS = 60_000;

  private final Ports ports = new Ports();
  private LoopResources loops;
  private ServerSocket target;
  private Relay relay;
  private HostPort relayAddress;

  @BeforeClass
  public void open() throws IOException {
    loops = LoopResources.create("relay-test", 2, true);
    target = new ServerSocket(0, 16, InetAddress.getByName(LOOPBACK));
    relayAddress = ports.next();
    relay = new Relay(relayAddress, new HostPort(LOOPBACK, target.getLocalPort()), 1_500, loops);
  }

  @AfterClass(alwaysRun = true)
  public void close() throws IOException {
    relay.close();
    target.close();
    loops.dispose();
    ports.close();
  }

  /** Bytes sent before, during and after a cut arrive in this order, and before the end. */
  @Test
  public void keepsTheOrderOfBytesAcrossACut() throws Exception {
    List<Integer> sent = IntStream.range(0, NUMBERS).boxed().toList();
    try (Socket client = new Socket(relayAddress.host(), relayAddress.port());
        Socket accepted = target.accept()) {
      accepted.setSoTimeout(READ_TIMEOUT_MILLIS);
      client.setTcpNoDelay(true);
      DataOutputStream out = new DataOutputStream(client.getOutputStream());
      for (int number : sent) {
        if (number == NUMBERS / 3) {
          relay.cut();
        } else if (number == 2 * NUMBERS / 3) {
          relay.heal();
        }
        out.writeInt(number);
        TimeUnit.MILLISECONDS.sleep(1);
      }
      client.close();
      byte[] bytes = new DataInputStream(accepted.getInputStream()).readAllBytes();
      DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
      List<Integer> received =
          IntStream.range(0, bytes.length / Integer.BYTES).mapToObj(any -> read(in)).toList();
      assertEquals(received, sent);
    }
  }

  private static int read(DataInputStream in) {
    try {
      return in.readInt();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }
}
