package standins2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A client's session. */
public final class Client implements AutoCloseable {
  /** The answer to one statement; {@code code} is null for a success. */
  public record Answer(List<String> rows, String code, String text, String state) {
    public boolean isSuccess() {
      return code == null;
    }
  }

  private final Socket socket = new Socket();
  private final InputStream in;
  private final OutputStream out;

  public Client(String address, int timeout) throws IOException {
    int colon = address.lastIndexOf(':');
    int port = Integer.parseInt(address.substring(colon + 1));
    socket.connect(new InetSocketAddress(address.substring(0, colon), port), timeout);
    socket.setSoTimeout(timeout);
    socket.setTcpNoDelay(true);
    in = new BufferedInputStream(socket.getInputStream());
    out = socket.getOutputStream();
  }

  /** Starts the session; returns whether it is ready. */
  public boolean start(String database, String who) throws IOException {
    send("START " + database + ' ' + who + "\r\n");
    String line = Member.readLine(in);
    return line != null && line.startsWith("READY");
  }

  public void send(String bytes) throws IOException {
    out.write(bytes.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  /** Sends a statement and returns its answer; fails when the connection ends or stays silent. */
  public Answer query(String id, String text) throws IOException {
    send("QUERY " + id + ' ' + text + "\r\n");
    return answer();
  }

  public Answer answer() throws IOException {
    List<String> rows = new ArrayList<>();
    String code = null;
    String text = "";
    while (true) {
      String line = Member.readLine(in);
      if (line == null) {
        throw new IOException(
            "the connection ended" + (code == null ? "" : " after " + code + ' ' + text));
      }
      String[] words = line.split(" ", 3);
      switch (words[0]) {
        case "ROW" -> rows.add(line.substring(4));
        case "COMPLETE" -> text = line.substring(9);
        case "ERROR" -> {
          code = words[1];
          text = words.length > 2 ? words[2] : "";
        }
        case "READY" -> {
          return new Answer(rows, code, text, words[1]);
        }
        default -> throw new IOException("unknown message " + line);
      }
    }
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException e) {
      // Closed all the same.
    }
  }
}
