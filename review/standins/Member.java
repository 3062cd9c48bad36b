import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stand-in for a member of a service. It speaks the line protocol of PROTOCOL.md, keeps no data,
 * and sends a heartbeat to one of the controllers every 1,200 ms.
 */
final class Member {
  /** Time that a read, write or commit takes; may be changed while the member runs. */
  volatile long workMillis = 5;

  final String id;
  final String service;
  final String address;
  volatile boolean primary;
  private final Record record;
  private final String[] controls;
  private final ServerSocket socket;
  private final AtomicLong sequence = new AtomicLong();
  private static final AtomicLong SIGNATURES = new AtomicLong(1_000);
  private final ServiceLog log;

  /** Position up to which a deaf replica has received the log; negative for one that is not deaf. */
  private volatile long deafAt = -1;

  private volatile String newest = "";
  private volatile long readAt = -1;

  /** The log of a service, as its primary has it. */
  static final class ServiceLog {
    final String service;
    final AtomicLong last;

    ServiceLog(String service, long last) {
      this.service = service;
      this.last = new AtomicLong(last);
    }
  }

  Member(
      Record record, ServiceLog log, String id, String host, boolean primary, String[] controls)
      throws IOException {
    this.record = record;
    this.log = log;
    this.service = log.service;
    this.id = id;
    this.primary = primary;
    this.controls = controls;
    socket = new ServerSocket();
    socket.bind(new InetSocketAddress(InetAddress.getByName(host), 0), 200);
    address = host + ":" + socket.getLocalPort();
    daemon("accept-" + id, this::accept);
    daemon("heartbeat-" + id, this::sendHeartbeats);
  }

  /** Returns whether this text is the newest one that the member has begun to run. */
  boolean hasBegun(String text) {
    return newest.equals(text);
  }

  /** Receives nothing of the log from now on. */
  void turnDeaf() {
    deafAt = log.last.get();
    record.write("member " + id + " receives nothing after " + log());
  }

  private long received() {
    return deafAt < 0 ? log.last.get() : deafAt;
  }

  /** Returns the position of the log on which a read ran since the last call; negative if none. */
  long takeReadAt() {
    long taken = readAt;
    readAt = -1;
    return taken;
  }

  private static void daemon(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
  }

  private void sendHeartbeats() {
    int next = Math.abs(id.hashCode());
    while (true) {
      String body =
          "{\"service\":\"" + service + "\",\"address\":\"" + address
              + "\",\"zone\":\"zone-1\",\"version\":\"v1\",\"capacity\":5,\"state\":\"ready\","
              + "\"cold-remaining-ms\":0,\"db-role\":\"" + (primary ? "primary" : "replica")
              + "\",\"seq\":" + sequence.incrementAndGet() + "}";
      boolean acknowledged = false;
      for (int i = 0; i < controls.length && !acknowledged; i++) {
        String control = controls[Math.floorMod(next, controls.length)];
        acknowledged =
            Http.post(control, "/streamcourse/Instances.Heartbeat/" + id, body).status == 200;
        next += acknowledged ? 0 : 1;
      }
      Clock.sleep(1_200);
    }
  }

  private void accept() {
    while (true) {
      try {
        Socket connection = socket.accept();
        connection.setTcpNoDelay(true);
        daemon("connection-" + id, () -> serve(connection));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      BufferedReader lines =
          new BufferedReader(
              new InputStreamReader(connection.getInputStream(), StandardCharsets.ISO_8859_1));
      OutputStream out = connection.getOutputStream();
      Map<String, String> prepared = new HashMap<>();
      String state = "I";
      boolean wrote = false;
      for (String line = lines.readLine(); line != null; line = lines.readLine()) {
        if (line.startsWith("START ")) {
          String[] fields = line.split(" ");
          boolean known =
              fields[1].equals(service) && (fields.length < 4 || fields[3].equals(id));
          write(out, known ? "READY I " + log() + "\r\n" : "ERROR WRONGNODE " + id + "\r\n");
          if (!known) {
            return;
          }
          continue;
        }
        if (!line.startsWith("QUERY ")) {
          return;
        }
        int blank = line.indexOf(' ', 6);
        String statement = line.substring(6, blank);
        String text = line.substring(blank + 1);
        long floor = 0;
        String floorText = "";
        if (text.startsWith("WAITPOS ")) {
          floorText = text.substring(0, text.indexOf(' ', 8) + 1);
          floor = Long.parseLong(floorText.trim().substring(floorText.indexOf('.') + 1));
          text = text.substring(floorText.length());
        }
        if (floor > received()) {
          record.write("member " + id + " lacks " + floorText + "for " + statement);
          write(out, "ERROR LAGGING " + log() + "\r\nREADY " + state + " " + log() + "\r\n");
          continue;
        }
        String word = text.split(" ")[0];
        String complete = "COMPLETE -\r\n";
        boolean isWrite = word.equals("WRITE") || word.equals("EXEC") && isWrite(prepared, text);
        boolean refused =
            !primary && (isWrite || text.equals("BEGIN"));
        if (refused) {
          state = state.equals("I") ? "I" : "E";
          write(out, "ERROR READONLY " + id + "\r\nREADY " + state + " " + log() + "\r\n");
          continue;
        }
        switch (word) {
          case "BEGIN" -> state = "T";
          case "ROLLBACK" -> {
            state = "I";
            wrote = false;
          }
          case "PREPARE" -> prepared.put(text.split(" ")[1], text.split(" ")[2]);
          case "RESET" -> prepared.clear();
          case "STATUS" ->
              complete =
                  "ROW " + (primary ? "primary" : "replica") + " 3 " + log() + " 0 0 0 1\r\n"
                      + complete;
          case "READ", "EXEC", "WRITE", "COMMIT" -> {
            record.write(
                "member " + id + " of " + service + " runs " + statement + " " + floorText + text
                    + " on the log up to " + log());
            readAt = word.equals("READ") ? received() : readAt;
            newest = text;
            Clock.sleep(workMillis);
            boolean commits = word.equals("COMMIT") ? wrote : isWrite && state.equals("I");
            if (commits) {
              log.last.incrementAndGet();
            }
            wrote = isWrite && state.equals("T") || wrote && !word.equals("COMMIT");
            state = word.equals("COMMIT") ? "I" : state;
            String row = isWrite || word.equals("COMMIT") ? "" : "ROW data\r\n";
            complete = row + "COMPLETE 7." + SIGNATURES.incrementAndGet() + "\r\n";
            record.write("member " + id + " answers " + statement);
          }
          default -> { }
        }
        write(out, complete + "READY " + state + " " + log() + "\r\n");
      }
    } catch (IOException e) {
      // The other side has closed the connection.
    }
  }

  private static boolean isWrite(Map<String, String> prepared, String text) {
    return "WRITE".equals(prepared.get(text.split(" ")[1]));
  }

  private String log() {
    return "3." + received();
  }

  private static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }
}
