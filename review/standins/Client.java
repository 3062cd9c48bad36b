import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client's session. */
final class Client implements AutoCloseable {
  private final Record record;
  private final String name;
  private final Socket socket = new Socket();
  private final BufferedReader lines;
  private int statements;

  Client(Record record, String name, String address, String database) throws IOException {
    this.record = record;
    this.name = name;
    String[] parts = address.split(":");
    socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 2_000);
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(10_000);
    lines =
        new BufferedReader(
            new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
    send("START " + database + " " + name);
    String answer = lines.readLine();
    if (answer == null || !answer.startsWith("READY I")) {
      throw new IOException("START got " + answer);
    }
  }

  private void send(String line) throws IOException {
    socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }

  /**
   * Sends a statement and returns its answer without rows: "COMPLETE ..., READY ..." or "ERROR ...,
   * READY ...", or null when the connection ended without a complete answer.
   */
  String run(String text) {
    statements++;
    String id = name + "-" + statements;
    StringBuilder answer = new StringBuilder();
    try {
      record.write("client " + name + " sends " + id + " " + text);
      send("QUERY " + id + " " + text);
      for (String line = lines.readLine(); line != null; line = lines.readLine()) {
        if (!line.startsWith("ROW ")) {
          answer.append(answer.length() == 0 ? "" : ", ").append(line);
        }
        if (line.startsWith("READY ")) {
          record.write("client " + name + " gets the answer to " + id + ": " + answer);
          return answer.toString();
        }
      }
      record.write("client " + name + " finds the connection closed, no answer to " + id);
    } catch (IOException e) {
      record.write("client " + name + " got no complete answer to " + id + ": " + e);
    }
    return null;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
