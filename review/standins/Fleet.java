import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The project's programs as separate processes, started with the run lines of deploy/system.toml
 * and with settings filled from the templates, each machine at a loopback address of its own.
 * Figures are those of ffcma-pool.
 */
final class Fleet implements AutoCloseable {
  private static final Pattern GAP = Pattern.compile("\\{\\{([a-z0-9.-]+)(\\|json)?\\}\\}");
  private static final Pattern SECTION =
      Pattern.compile("(?s)\\{\\{#([a-z0-9.-]+)\\}\\}.*?\\{\\{/\\1\\}\\}");
  private static final int HOSTS_PER_RUN = 40;

  final Record record;
  final Path folder;
  final String[] controls;
  final Map<String, Process> processes = new TreeMap<>();
  private final Path root;
  private final int hostBase = 10 + (int) (ProcessHandle.current().pid() % 5) * HOSTS_PER_RUN;
  private final int linkPort;
  private final int callPort;
  private final int sessionPort;
  private final int readyPort;
  private final HttpServer platform;
  private final int controllers;

  Fleet(Record record, Path root, int controllers) throws IOException {
    this.record = record;
    this.root = root;
    this.controllers = controllers;
    folder = Files.createTempDirectory("review");
    int[] ports = freePorts(4);
    linkPort = ports[0];
    callPort = ports[1];
    sessionPort = ports[2];
    readyPort = ports[3];
    controls = new String[controllers];
    for (int i = 0; i < controllers; i++) {
      controls[i] = controlHost(i) + ":" + callPort;
    }
    platform = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 20);
    platform.createContext(
        "/promote",
        exchange -> {
          String body =
              new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
          record.write("platform gets " + body);
          exchange.sendResponseHeaders(409, -1);
          exchange.close();
        });
    platform.start();
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
  }

  private static int[] freePorts(int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    int[] ports = new int[count];
    for (int i = 0; i < count; i++) {
      ServerSocket socket = new ServerSocket(0);
      sockets.add(socket);
      ports[i] = socket.getLocalPort();
    }
    for (ServerSocket each : sockets) {
      each.close();
    }
    return ports;
  }

  String controlHost(int index) {
    return "127.0.0." + (hostBase + index);
  }

  String edgeHost(int index) {
    return "127.0.0." + (hostBase + 20 + index);
  }

  String sessionAddress(int edge) {
    return edgeHost(edge) + ":" + sessionPort;
  }

  boolean isReady(int edge) {
    return Http.get(edgeHost(edge) + ":" + readyPort, "/streamcourse/readiness").status == 200;
  }

  void startControl(int index, boolean bootstrap) throws IOException {
    String name = "core-" + index;
    Map<String, Object> fields = fields(name, controlHost(index), index, bootstrap);
    fields.put("listen-addrs.control", controls[index]);
    Path data = Files.createDirectories(folder.resolve("data-" + name));
    fields.put("data-dir", data.toString());
    start("control", name, fields);
  }

  void startEdge(int index) throws IOException {
    String name = "edge-" + index;
    Map<String, Object> fields = fields(name, edgeHost(index), index, true);
    fields.put("listen-addrs.front", sessionAddress(index));
    fields.put("listen-addrs.ready", edgeHost(index) + ":" + readyPort);
    start("edge", name, fields);
  }

  private Map<String, Object> fields(String name, String host, int zone, boolean bootstrap) {
    Map<String, Object> fields = new TreeMap<>();
    fields.put("node-name", name);
    fields.put("ip", host);
    fields.put("zone", "zone-" + (1 + zone % 3));
    fields.put("region", "region-" + (1 + zone % 3));
    fields.put("internal-ports.0", linkPort);
    fields.put("seeds", Arrays.asList(controls).subList(0, Math.min(3, controllers)));
    fields.put("bootstrap", bootstrap);
    fields.put("fault-tolerance.machines", 1);
    fields.put("cloud-api.address", "127.0.0.1:" + platform.getAddress().getPort());
    fields.put("bounds.grace-s", 6);
    return fields;
  }

  private void start(String role, String name, Map<String, Object> fields) throws IOException {
    String deploy = Files.readString(root.resolve("deploy/system.toml"));
    String section = deploy.substring(deploy.indexOf("[roles." + role + "]"));
    String run = quoted(section, "run");
    String template = Files.readString(root.resolve(quoted(section, "template")));
    Path settings = folder.resolve(name + ".yaml");
    Files.writeString(settings, fill(template, fields));
    List<String> command = Arrays.asList(fill(run, fields).split(" "));
    ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
    builder.environment().put("STREAMCOURSE_CONFIG", settings.toString());
    builder.environment().put("STREAMCOURSE_LOG_TARGET", "System.out");
    builder.environment().put("STREAMCOURSE_LOG_DELAY_MILLIS", "2000");
    builder.redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
    processes.put(name, builder.start());
    record.write("starts " + name);
  }

  private static String quoted(String section, String key) {
    Matcher matcher = Pattern.compile("(?m)^" + key + " = \"([^\"]*)\"").matcher(section);
    if (!matcher.find()) {
      throw new IllegalStateException("no " + key + " in the deploy file");
    }
    return matcher.group(1);
  }

  private static String fill(String template, Map<String, Object> fields) {
    Matcher sections = SECTION.matcher(template);
    String text =
        sections.replaceAll(
            found -> {
              if (fields.containsKey(found.group(1))) {
                throw new IllegalStateException("sections are not filled here");
              }
              return "";
            });
    return GAP.matcher(text)
        .replaceAll(
            found -> {
              Object value = fields.get(found.group(1));
              if (value == null) {
                throw new IllegalStateException("no value for " + found.group(1));
              }
              return Matcher.quoteReplacement(
                  found.group(2) == null ? value.toString() : json(value));
            });
  }

  private static String json(Object value) {
    if (value instanceof List<?> list) {
      List<String> items = new ArrayList<>();
      list.forEach(item -> items.add(json(item)));
      return "[" + String.join(",", items) + "]";
    }
    return value instanceof String ? "\"" + value + "\"" : value.toString();
  }

  /** Sends a signal to a process that this run has started. */
  void signal(String name, String signal) throws IOException, InterruptedException {
    record.write("sends " + signal + " to " + name);
    long pid = processes.get(name).pid();
    new ProcessBuilder("kill", "-" + signal, Long.toString(pid)).start().waitFor();
  }

  /** Sends a configuration to one controller after the other until it is acknowledged. */
  boolean configure(String body, long withinMillis) {
    long end = Clock.now() + withinMillis;
    for (int i = 0; Clock.now() < end; i++) {
      Http.Result result =
          Http.post(controls[i % controls.length], "/streamcourse/Config.Replace", body);
      if (result.status == 200) {
        record.write("configuration acknowledged by " + controls[i % controls.length]);
        return true;
      }
      Clock.sleep(200);
    }
    return false;
  }

  private void endProcesses() {
    processes.values().forEach(Process::destroyForcibly);
  }

  /** Ends all processes and deletes their files, unless KEEP=1. */
  @Override
  public void close() throws IOException {
    endProcesses();
    for (Process each : processes.values()) {
      try {
        each.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    platform.stop(0);
    if ("1".equals(System.getenv("KEEP"))) {
      System.out.println(folder);
    } else {
      delete(folder);
    }
  }

  /** Deletes a folder with its content. */
  static void delete(Path folder) throws IOException {
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path each : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(each);
      }
    }
  }
}
