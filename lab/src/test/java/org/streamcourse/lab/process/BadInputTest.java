package org.streamcourse.lab.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.Random;
import org.streamcourse.lab.fleet.Fleet;
import org.streamcourse.process.settings.HostPort;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Invalid input gets an error or a closed connection, and the process keeps running. */
public class BadInputTest {
  private static final int TIMEOUT_MILLIS = 60_000;
  private static final int PROTOCOL_VERSION = 196_608;

  private Fleet fleet;
  private Fleet.ProxyHandle proxy;

  @BeforeClass
  public void start() throws Exception {
    fleet = SharedFleet.get();
    proxy = fleet.proxies().get(1);
  }

  @AfterMethod
  public void processKeepsRunning() throws SQLException {
    assertTrue(proxy.process().isAlive());
    try (Connection connection = Fleet.connect(proxy.callers(), SharedFleet.database(), "");
        Statement statement = connection.createStatement()) {
      assertTrue(statement.execute("SELECT 1"));
    }
    assertEquals(fleet.admin("SHOW CONTROLLERS").size(), 3);
  }

  /** Sends bytes and reads until the peer closes the connection; returns the bytes received. */
  private static String exchange(HostPort address, byte[] bytes) throws IOException {
    try (Socket socket = new Socket(address.host(), address.port())) {
      socket.setSoTimeout(TIMEOUT_MILLIS);
      OutputStream out = socket.getOutputStream();
      try {
        out.write(bytes);
        out.flush();
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
      } catch (SocketException e) {
        // The peer reset the connection with bytes unread, which counts as closed.
        return "";
      }
    }
  }

  private static byte[] garbage() {
    byte[] bytes = new byte[5_000];
    new Random(1).nextBytes(bytes);
    return bytes;
  }

  private static byte[] startup(String user, String database) {
    byte[] text =
        ("user\0" + user + "\0database\0" + database + "\0\0").getBytes(StandardCharsets.UTF_8);
    return ByteBuffer.allocate(8 + text.length)
        .putInt(8 + text.length)
        .putInt(PROTOCOL_VERSION)
        .put(text)
        .array();
  }

  @DataProvider
  public Object[][] ports() {
    return new Object[][] {
      {proxy.direct()}, {fleet.adminOf("c1")},
    };
  }

  @Test(dataProvider = "ports")
  public void garbageClosesTheConnection(HostPort port) throws IOException {
    exchange(port, garbage());
    exchange(port, "GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
  }

  @Test(dataProvider = "ports")
  public void oversizedFrameClosesTheConnection(HostPort port) throws IOException {
    exchange(port, ByteBuffer.allocate(8).putInt(Integer.MAX_VALUE).putInt(1).array());
    byte[] startup = startup(Fleet.USER, SharedFleet.database());
    byte[] frame =
        ByteBuffer.allocate(startup.length + 5)
            .put(startup)
            .put((byte) 'p')
            .putInt(Integer.MAX_VALUE)
            .array();
    exchange(port, frame);
  }

  @Test(dataProvider = "ports")
  public void halfOpenConnectionIsClosed(HostPort port) throws IOException {
    exchange(port, new byte[] {0, 0});
    exchange(port, startup(Fleet.USER, SharedFleet.database()));
  }

  @Test
  public void wrongPasswordIsRefused() {
    assertEquals(stateOf(Fleet.USER, "wrong", SharedFleet.database()), "28P01");
    assertEquals(stateOf("nobody", "wrong", SharedFleet.database()), "28P01");
  }

  @Test
  public void unknownDatabaseIsRefused() {
    assertEquals(stateOf(Fleet.USER, Fleet.PASSWORD, "nowhere"), "3D000");
  }

  private String stateOf(String user, String password, String database) {
    String url = "jdbc:postgresql://" + proxy.callers() + '/' + database;
    return expectThrows(
            SQLException.class, () -> DriverManager.getConnection(url, user, password).close())
        .getSQLState();
  }

  @Test
  public void forgedFloorIsRefused() {
    SQLException refused =
        expectThrows(
            SQLException.class,
            () -> Fleet.connect(proxy.callers(), SharedFleet.database(), "forged.token").close());
    assertEquals(refused.getSQLState(), "28000");
  }

  @Test
  public void errorsOfInvalidCommandsNameTheCause() {
    SQLException syntax =
        expectThrows(SQLException.class, () -> fleet.admin("DRAIN MEMBER m1 OF GROUP g"));
    assertEquals(syntax.getSQLState(), "42601");
    assertTrue(syntax.getMessage().contains("line 1, column 17"), syntax.getMessage());
    SQLException missing =
        expectThrows(SQLException.class, () -> fleet.admin("DROP GROUP nowhere"));
    assertTrue(missing.getMessage().contains("nowhere"), missing.getMessage());
  }

  @Test
  public void garbageOnAPeerPortClosesTheConnection() throws Exception {
    // The proxy's handle has no address for peer links; the controllers report it.
    String address = fleet.admin("SHOW NODES WHERE node = p2").get(0).get("address");
    exchange(HostPort.parse(address), garbage());
  }
}
