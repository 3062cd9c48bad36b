package standins2;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The project's own programs, started with the run lines, templates and variables of
 * deploy/system.toml, each machine at a loopback address of its own. Plays the platform's part: it
 * fills the templates and starts a process again that has ended.
 */
public final class Fleet implements AutoCloseable {
  /** One machine with its process. */
  public final class Machine {
    public final String role;
    public final String host;
    public final String zone;
    private Process process;

    Machine(String role, String host, String zone) {
      this.role = role;
      this.host = host;
      this.zone = zone;
    }

    public String front() {
      return host + ':' + frontPort;
    }

    public String control() {
      return host + ':' + controlPort;
    }

    public boolean isReady() {
      return Http.get(host + ':' + readyPort, "/streamcourse/readiness", 1_000) == 200;
    }

    public boolean isAlive() {
      return process != null && process.isAlive();
    }

    public int exitValue() {
      return process.exitValue();
    }

    public long pid() {
      return process.pid();
    }

    public Path logFile() {
      return folder.resolve(role + '-' + host + ".log");
    }

    /** Starts the process, as the platform does. */
    public void start(boolean bootstrap) throws IOException {
      Map<String, String> fields = fields(this, bootstrap);
      Map<String, String> table = tables.get(role.equals("edge") ? "roles.edge" : "roles.control");
      Path settings = folder.resolve(role + '-' + host + ".yaml");
      String template = Files.readString(root.resolve(table.get("template")));
      Files.writeString(settings, fill(template, fields));
      List<String> command = List.of(fill(table.get("run"), fields).trim().split(" +"));
      ProcessBuilder builder = new ProcessBuilder(command);
      builder.directory(root.toFile());
      Map<String, String> given = Map.copyOf(builder.environment());
      builder.environment().clear();
      for (String name : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
        if (given.containsKey(name)) {
          builder.environment().put(name, given.get(name));
        }
      }
      Matcher variables = Pattern.compile("(\\w+) = \"([^\"]*)\"").matcher(table.get("env"));
      while (variables.find()) {
        builder.environment().put(variables.group(1), variables.group(2));
      }
      builder.environment().put("STREAMCOURSE_CONFIG", settings.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(ProcessBuilder.Redirect.appendTo(logFile().toFile()));
      process = builder.start();
    }
  }

  public final List<Machine> edges = new ArrayList<>();
  public final List<Machine> cores = new ArrayList<>();
  private final Path root;
  private final Path folder;
  private final int frontPort;
  private final int readyPort;
  private final int controlPort;
  private final int linkPort;
  private final Map<String, Map<String, String>> tables = new LinkedHashMap<>();

  /** Creates machines in three zones; nothing runs yet. */
  public Fleet(Path root, int edgeCount, int coreCount) throws IOException {
    this.root = root.toAbsolutePath().normalize();
    folder = Files.createTempDirectory("review");
    for (int i = 0; i < coreCount; i++) {
      int zone = i % 3 + 1;
      cores.add(new Machine("control", "127.40." + zone + '.' + (10 + i), "zone-" + zone));
    }
    for (int i = 0; i < edgeCount; i++) {
      int zone = i % 3 + 1;
      edges.add(new Machine("edge", "127.40." + zone + '.' + (100 + i), "zone-" + zone));
    }
    frontPort = freePort();
    readyPort = freePort();
    controlPort = freePort();
    linkPort = freePort();
    readDeployFile();
  }

  private String platformAddress = "";
  private boolean closed;

  public void setPlatform(String address) {
    platformAddress = address;
  }

  public List<String> controls() {
    return cores.stream().map(Machine::control).toList();
  }

  private int freePort() throws IOException {
    for (int attempt = 0; attempt < 100; attempt++) {
      List<ServerSocket> bound = new ArrayList<>();
      try {
        ServerSocket first = new ServerSocket();
        bound.add(first);
        first.bind(new InetSocketAddress(InetAddress.getByName(cores.get(0).host), 0));
        int port = first.getLocalPort();
        List<Machine> all = new ArrayList<>(cores);
        all.addAll(edges);
        for (Machine machine : all.subList(1, all.size())) {
          ServerSocket socket = new ServerSocket();
          bound.add(socket);
          socket.bind(new InetSocketAddress(InetAddress.getByName(machine.host), port));
        }
        return port;
      } catch (IOException e) {
        // Another process has this port; tries the next one.
      } finally {
        for (ServerSocket socket : bound) {
          socket.close();
        }
      }
    }
    throw new IOException("no free port");
  }

  private void readDeployFile() throws IOException {
    Map<String, String> table = new LinkedHashMap<>();
    for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
      Matcher heading = Pattern.compile("\\[([\\w.-]+)]").matcher(line.trim());
      if (heading.matches()) {
        table = new LinkedHashMap<>();
        tables.put(heading.group(1), table);
      } else if (line.contains(" = ")) {
        String[] parts = line.split(" = ", 2);
        String value = parts[1].trim();
        boolean quoted = value.startsWith("\"");
        table.put(parts[0].trim(), quoted ? value.substring(1, value.length() - 1) : value);
      }
    }
  }

  /** The fields of the ccbc-shared deployment, with loopback addresses. */
  private Map<String, String> fields(Machine machine, boolean bootstrap) {
    Map<String, String> fields = new LinkedHashMap<>();
    fields.put("node-name", machine.role + '-' + machine.host);
    fields.put("ip", machine.host);
    fields.put("zone", machine.zone);
    fields.put("region", "region-" + machine.zone);
    fields.put("listen-addrs.front", machine.front());
    fields.put("listen-addrs.ready", machine.host + ':' + readyPort);
    fields.put("listen-addrs.control", machine.control());
    fields.put("internal-ports.0", String.valueOf(linkPort));
    fields.put(
        "seeds|json",
        cores.stream().map(core -> '"' + core.control() + '"').toList().toString());
    fields.put("bootstrap|json", String.valueOf(bootstrap));
    fields.put("fault-tolerance.machines|json", "1");
    fields.put("bounds.grace-s", "6");
    fields.put("cloud-api.address", platformAddress);
    fields.put("data-dir", folder.resolve("data-" + machine.host).toString());
    return fields;
  }

  private static String fill(String template, Map<String, String> fields) {
    Pattern section = Pattern.compile("\\{\\{#([^}]*)}}.*?\\{\\{/\\1}}", Pattern.DOTALL);
    String text = section.matcher(template).replaceAll("");
    Matcher gap = Pattern.compile("\\{\\{([^}]*)}}").matcher(text);
    StringBuilder filled = new StringBuilder();
    while (gap.find()) {
      String name = gap.group(1);
      String value = fields.get(name);
      if (value == null && name.endsWith("|json")) {
        String plain = fields.get(name.substring(0, name.length() - 5));
        value = plain == null ? null : '"' + plain + '"';
      }
      if (value == null) {
        throw new IllegalStateException("no field " + name);
      }
      gap.appendReplacement(filled, Matcher.quoteReplacement(value));
    }
    gap.appendTail(filled);
    return filled.toString();
  }

  /** Starts all machines, and sends the first configuration until it is taken. */
  public boolean startAll(String document, List<Member> members) throws Exception {
    for (Machine core : cores) {
      core.start(true);
    }
    for (Machine edge : edges) {
      edge.start(true);
    }
    members.forEach(Member::start);
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(40);
    boolean taken = false;
    while (System.nanoTime() < until) {
      for (int i = 0; !taken && i < cores.size(); i++) {
        taken = replace(cores.get(i), document) == 200;
      }
      if (taken && edges.stream().allMatch(Machine::isReady)) {
        return true;
      }
      Thread.sleep(200);
    }
    return false;
  }

  public int replace(Machine core, String document) {
    return Http.post(core.control(), "/streamcourse/Config.Replace", document, Map.of(), 1_000);
  }

  /** Ends all processes and removes the folder. */
  @Override
  public synchronized void close() {
    if (closed) {
      return;
    }
    closed = true;
    List<Machine> all = new ArrayList<>(cores);
    all.addAll(edges);
    for (Machine machine : all) {
      if (machine.process != null) {
        machine.process.destroyForcibly();
      }
    }
    for (Machine machine : all) {
      try {
        if (machine.process != null) {
          machine.process.waitFor(10, TimeUnit.SECONDS);
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    if (System.getenv("KEEP_LOGS") != null) {
      System.out.println("logs in " + folder);
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    } catch (IOException e) {
      System.err.println("not all temporary files were removed: " + e);
    }
  }
}
