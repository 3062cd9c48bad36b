package standins2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import java.util.function.BiPredicate;
import java.util.function.Predicate;

/** A sound database member. A line ends with CR LF, as PROTOCOL.md says. */
public final class Member {
  private static final int QUEUE = 40;

  public final String id;
  public volatile boolean primary;
  public volatile boolean running;

  /** Whether the answer to a statement (id, text) that was run is lost. */
  public volatile BiPredicate<String, String> losesAnswer = (statement, text) -> false;

  /** Is told each read and write that the member runs, with its id and text. */
  public volatile BiConsumer<String, String> onRun = (statement, text) -> {};

  /** Number of times that a read returns its row. */
  public volatile int rows = 1;

  /** Address that the member tells in its heartbeats, if not its own. */
  public volatile String address;

  /** State that the member tells in its heartbeats. */
  public volatile String state = "ready";

  /** Is told each order to step down; returns true if the order is left unanswered. */
  public volatile Predicate<Long> leavesStepDown = newTerm -> false;

  volatile long term = 1;
  volatile long pausedTerm;
  long nextArrivalMicros;
  final List<Group.Entry> log = new ArrayList<>();
  private final Group group;
  final Log record;
  private final int slots;
  private final int maxConnections;
  private final long handshakeMillis;
  private final long workMillis;
  private final Semaphore free;
  private final AtomicInteger waiting = new AtomicInteger();
  private final AtomicInteger connections = new AtomicInteger();
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final ServerSocket server;
  private final List<String> controls;
  private final String zone;
  private int sequence;

  public Member(
      Group group, String id, boolean primary, String host, String zone, List<String> controls,
      int slots, int maxConnections, long handshakeMillis, long workMillis, Log record)
      throws IOException {
    this(
        group, id, primary, host, 0, zone, controls, slots, maxConnections, handshakeMillis,
        workMillis, record);
  }

  private Member(
      Group group, String id, boolean primary, String host, int port, String zone,
      List<String> controls, int slots, int maxConnections, long handshakeMillis, long workMillis,
      Log record)
      throws IOException {
    this.group = group;
    this.id = id;
    this.primary = primary;
    this.zone = zone;
    this.controls = controls;
    this.slots = slots;
    this.maxConnections = maxConnections;
    this.handshakeMillis = handshakeMillis;
    this.workMillis = workMillis;
    this.record = record;
    free = new Semaphore(slots, true);
    server = new ServerSocket();
    server.setReuseAddress(true);
    server.bind(new InetSocketAddress(InetAddress.getByName(host), port), 100);
    address = host + ':' + server.getLocalPort();
    group.members.add(this);
  }

  public String ownAddress() {
    return server.getInetAddress().getHostAddress() + ':' + server.getLocalPort();
  }

  public void start() {
    running = true;
    run("accept", this::accept);
    run("beats", this::beats);
  }

  static Thread daemon(Runnable task) {
    Thread thread = new Thread(null, task, "standin", 512 * 1024);
    thread.setDaemon(true);
    return thread;
  }

  private static void run(String name, Runnable task) {
    daemon(task).start();
  }

  boolean holds(Group.Entry entry) {
    return log.size() >= entry.number() && log.get((int) entry.number() - 1) == entry;
  }

  Group.Entry last() {
    return log.isEmpty() ? null : log.get(log.size() - 1);
  }

  public int open() {
    return connections.get();
  }

  // ---- heartbeats ----

  private void beats() {
    int turn = 0;
    while (running) {
      boolean taken = beat(controls.get(turn % controls.size()));
      turn += taken ? 0 : 1;
      try {
        Thread.sleep(taken ? 1_200 : 100);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Sends a heartbeat at once, to the first machine that takes it. */
  public void beatNow() {
    run("beat", () -> controls.stream().anyMatch(this::beat));
  }

  /** Crashes: all connections end, and nothing is said. */
  public void crash() throws IOException {
    running = false;
    server.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  /** Returns a new incarnation at the address of this one, with its log. */
  public Member reborn(String newId) throws IOException {
    String host = server.getInetAddress().getHostAddress();
    Member next =
        new Member(
            group, newId, false, host, server.getLocalPort(), zone, controls, slots,
            maxConnections, handshakeMillis, workMillis, record);
    synchronized (group) {
      next.log.addAll(log);
      next.term = term;
      next.primary = primary;
      primary = false;
    }
    next.start();
    group.catchUp(next);
    return next;
  }

  /** Carries out an order to step down. */
  public void stepDown(long newTerm) {
    record.line("CARRIES OUT " + id + " STEPDOWN " + newTerm);
    group.stepDown(this, newTerm);
  }

  /** Adds this member, as a replica, to a group that runs. */
  public void join() {
    term = group.members.stream().mapToLong(m -> m.term).max().orElse(1);
    start();
    group.catchUp(this);
  }

  private synchronized boolean beat(String control) {
    sequence++;
    String body =
        String.format(
            "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\","
                + "\"capacity\":%d,\"state\":\"%s\",\"cold-remaining-ms\":0,"
                + "\"db-role\":\"%s\",\"seq\":%d}",
            group.name, address, zone, slots, state, primary ? "primary" : "replica", sequence);
    int status =
        Http.post(control, "/streamcourse/Instances.Heartbeat/" + id, body, Map.of(), 1_000);
    return status >= 200 && status < 300;
  }

  // ---- sessions ----

  private void accept() {
    while (running) {
      try {
        Socket socket = server.accept();
        sockets.add(socket);
        run("session", () -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    int open = connections.incrementAndGet();
    try (socket) {
      socket.setTcpNoDelay(true);
      new Session(socket, open).serve();
    } catch (IOException | InterruptedException e) {
      // The other side has closed the connection.
    } finally {
      connections.decrementAndGet();
      sockets.remove(socket);
    }
  }

  /** Reads a line up to CR LF; null at the end. */
  static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream(128);
    int previous = -1;
    int next = in.read();
    while (next >= 0) {
      if (previous == '\r' && next == '\n') {
        byte[] bytes = line.toByteArray();
        return new String(bytes, 0, bytes.length - 1, StandardCharsets.ISO_8859_1);
      }
      line.write(next);
      previous = next;
      next = in.read();
    }
    return null;
  }

  private final class Session {
    private final InputStream in;
    private final OutputStream out;
    private final int openConnections;
    private final Map<String, String> shapes = new HashMap<>();
    private final List<String[]> writes = new ArrayList<>();
    private char state = 'I';
    private boolean plain;
    private long begunTerm;

    Session(Socket socket, int openConnections) throws IOException {
      in = new BufferedInputStream(socket.getInputStream());
      out = socket.getOutputStream();
      this.openConnections = openConnections;
    }

    void serve() throws IOException, InterruptedException {
      String start = readLine(in);
      if (start == null) {
        return;
      }
      String[] words = start.split(" ");
      if (words.length < 3 || !words[0].equals("START") || !words[1].equals(group.name)
          || (words.length > 3 && !words[3].equals(id))) {
        send("ERROR WRONGNODE " + id + "\r\n");
        return;
      }
      if (openConnections > maxConnections) {
        send("ERROR MAXCONN " + id + "\r\n");
        return;
      }
      free.acquire();
      try {
        Thread.sleep(handshakeMillis);
      } finally {
        free.release();
      }
      send(ready());
      String line = readLine(in);
      while (line != null && running) {
        String[] query = line.split(" ", 3);
        if (!query[0].equals("QUERY") || query.length < 3) {
          return;
        }
        String answer = statement(query[1], query[2]);
        if (answer == null) {
          record.line("LEFT-UNANSWERED " + id + " " + query[2]);
        } else if (losesAnswer.test(query[1], query[2])) {
          record.line("LOST-ANSWER " + id + " " + query[1] + " " + head(query[2]));
        } else {
          send(answer);
        }
        line = readLine(in);
      }
    }

    private void send(String text) throws IOException {
      out.write(text.getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
    }

    private String ready() {
      synchronized (group) {
        Group.Entry last = last();
        String position = last == null ? "-" : last.term() + "." + last.number();
        return "READY " + state + ' ' + position + "\r\n";
      }
    }

    private String complete(String rows, String signature) {
      return rows + "COMPLETE " + signature + "\r\n" + ready();
    }

    private String error(String code) {
      if (state == 'T') {
        state = 'E';
      }
      return "ERROR " + code + ' ' + id + "\r\n" + ready();
    }

    private String statement(String statement, String text) throws InterruptedException {
      String[] words = text.split(" ", 3);
      if (words[0].equals("WAITPOS")) {
        String[] wanted = words[1].split("\\.");
        synchronized (group) {
          Group.Entry last = last();
          long lastTerm = last == null ? 0 : last.term();
          long number = last == null ? 0 : last.number();
          boolean has =
              lastTerm > Long.parseLong(wanted[0])
                  || (lastTerm == Long.parseLong(wanted[0])
                      && number >= Long.parseLong(wanted[1]));
          if (!has) {
            return error("LAGGING");
          }
        }
        return statement(statement, words[2]);
      }
      if (state == 'E' && !words[0].equals("ROLLBACK")) {
        return error("MALFORMED");
      }
      switch (words[0]) {
        case "BEGIN":
          plain = words.length == 1;
          begunTerm = term;
          if (plain && !primary) {
            return error("READONLY");
          }
          state = 'T';
          return complete("", "-");
        case "ROLLBACK":
          writes.clear();
          state = 'I';
          return complete("", "-");
        case "SET":
          return complete("", "-");
        case "RESET":
          shapes.clear();
          return complete("", "-");
        case "PREPARE":
          shapes.put(words[1], words[2].split(" ")[0]);
          return complete("", "-");
        case "PAUSE":
          if (!primary && Long.parseLong(words[1]) > term) {
            pausedTerm = Long.parseLong(words[1]);
          }
          record.line("ORDER " + id + " " + text);
          return complete(statusRow(), "-");
        case "RESUME":
          pausedTerm = 0;
          record.line("ORDER " + id + " " + text);
          group.catchUp(Member.this);
          return complete(statusRow(), "-");
        case "STEPDOWN":
          record.line("ORDER " + id + " " + text);
          if (leavesStepDown.test(Long.parseLong(words[1]))) {
            return null;
          }
          group.stepDown(Member.this, Long.parseLong(words[1]));
          return complete(statusRow(), "-");
        case "STATUS":
          return complete(statusRow(), "-");
        default:
          return worked(statement, text, words);
      }
    }

    private String statusRow() {
      synchronized (group) {
        Group.Entry last = last();
        String position = last == null ? "-" : last.term() + "." + last.number();
        return "ROW " + (primary ? "primary" : "replica") + ' ' + term + ' ' + position + ' '
            + pausedTerm + " 0 0 " + connections.get() + "\r\n";
      }
    }

    /** Runs what takes one of the member's slots. */
    private String worked(String statement, String text, String[] words)
        throws InterruptedException {
      if (waiting.incrementAndGet() > QUEUE) {
        waiting.decrementAndGet();
        return error("BUSY");
      }
      free.acquire();
      waiting.decrementAndGet();
      try {
        if (!words[0].equals("COMMIT")) {
          TimeUnit.MILLISECONDS.sleep(workMillis);
        }
        return runSlot(statement, text, words);
      } finally {
        free.release();
      }
    }

    private String runSlot(String statement, String text, String[] words)
        throws InterruptedException {
      boolean lostLead = plain && state == 'T' && (!primary || term != begunTerm);
      String word = words[0];
      String thing = words.length > 1 ? words[1] : "";
      String data = words.length > 2 ? words[2] : "";
      if (word.equals("EXEC")) {
        String shape = shapes.get(thing);
        if (shape == null) {
          return error("NOSTMT");
        }
        word = shape;
        String[] rest = data.split(" ", 2);
        thing = rest[0];
        data = rest.length > 1 ? rest[1] : "";
      }
      if (word.equals("COMMIT")) {
        if (!writes.isEmpty() && lostLead) {
          return error("READONLY");
        }
        record.line("RUN " + id + " " + statement + " COMMIT");
        Group.Entry newest = null;
        for (String[] write : writes) {
          newest = group.commit(Member.this, write[0], write[1], write[2]);
        }
        writes.clear();
        state = 'I';
        if (newest != null && !group.awaitReceived(Member.this, newest)) {
          return error("TIMEOUT");
        }
        return complete("", signature(statement));
      }
      if (lostLead || (word.equals("WRITE") && !primary)) {
        return error("READONLY");
      }
      record.line("RUN " + id + " " + statement + " " + head(text));
      onRun.accept(statement, text);
      if (word.equals("READ")) {
        String row;
        synchronized (group) {
          row = "none";
          for (Group.Entry entry : log) {
            row = entry.thing().equals(thing) ? entry.data() : row;
          }
        }
        return complete(("ROW " + row + "\r\n").repeat(rows), signature(statement));
      }
      if (state == 'T') {
        writes.add(new String[] {thing, data, statement});
      } else if (!group.awaitReceived(
          Member.this, group.commit(Member.this, thing, data, statement))) {
        return error("TIMEOUT");
      }
      return complete("", signature(statement));
    }

    private String signature(String statement) {
      return "sig." + statement + '.' + id;
    }
  }

  static String head(String text) {
    return text.length() <= 80 ? text : text.substring(0, 80) + "...(" + text.length() + ")";
  }
}
