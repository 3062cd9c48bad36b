package org.streamcourse.process.explain;

import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.streamcourse.process.ErrorCode;
import org.streamcourse.process.StreamcourseException;

/**
 * Finds in the logs of all processes what led to a request's end: the lines that name the request,
 * and those about beliefs that touch its database, members and nodes shortly before.
 */
public final class RequestExplainer {
  private static final String REQUEST = "request";
  private static final String MEMBER = "member";
  private static final String SUBJECT = "subject";

  /**
   * Beliefs that changed earlier than this before a request are left out: a change of primary and
   * what led to it are over within it.
   */
  private static final Duration BELIEFS_BEFORE = Duration.ofSeconds(10);

  /** Most beliefs that are told, the newest ones. */
  private static final int MOST_BELIEFS = 20;

  /** Begins of messages that tell how a request ended. */
  private static final List<String> FINAL =
      List.of("request failed", "statement answered", "statement given up", "statement over limit");

  /** Begins of messages about a node's own state, told when the node took part. */
  private static final List<String> OWN_STATE =
      List.of(
          "confirmed by",
          "installs the stored image",
          "takes a stored image",
          "proxy ",
          "stops",
          "planned stop",
          "requests the image of",
          "asks ");

  /** Begins of messages about who leads the controllers. */
  private static final List<String> LEADERSHIP =
      List.of(
          "became leader",
          "lost leadership",
          "resigned leadership",
          "proposing voters",
          "leads term",
          "no longer leads",
          "steps down",
          "changes voters");

  private static final Set<String> TOLD_APART =
      Set.of(
          REQUEST, "step", "plan", "kind", "outcome", "answer", "code", "decided", "peer", MEMBER,
          "gateway", "holder", SUBJECT);

  private final LogFolder logs;

  /**
   * Opens the logs.
   *
   * @param folder folder with one file of JSON lines, or several, for each process
   * @throws StreamcourseException when it is no folder
   */
  public RequestExplainer(Path folder) {
    logs = new LogFolder(folder);
  }

  /**
   * Explains a request.
   *
   * @param id id that the caller was told, or the client's statement id
   * @return what led to its end
   * @throws StreamcourseException when no line names it
   */
  public Explanation explain(String id) {
    List<LogLine> own = logs.read(line -> names(line.field(REQUEST), id));
    if (own.isEmpty()) {
      throw new StreamcourseException(
          ErrorCode.INVALID_SETTINGS,
          "explain",
          "",
          "ID: no line in the folder of --logs names the request " + id);
    }
    own.sort(Comparator.comparing(LogLine::at).thenComparing(LogLine::writtenAt));
    LogLine last = lastDecision(own);
    List<LogLine> beliefs = beliefs(own, last.writtenAt());
    List<LogLine> all = new ArrayList<>(own);
    all.addAll(beliefs);
    all.sort(Comparator.comparing(LogLine::at).thenComparing(line -> line.equals(last)));
    List<Explanation.Step> steps =
        all.stream().map(line -> stepOf(line, own.contains(line))).toList();
    return new Explanation(id, steps, isFinal(last), cause(last, own, beliefs));
  }

  /** Nodes that run another node's statement know its id without the session's number. */
  private static boolean names(String field, String id) {
    return !field.isEmpty()
        && (field.equals(id) || field.startsWith(id + '@') || id.startsWith(field + '@'));
  }

  private static LogLine lastDecision(List<LogLine> own) {
    return own.stream()
        .filter(RequestExplainer::isFinal)
        .reduce((earlier, later) -> later)
        .orElse(own.get(own.size() - 1));
  }

  private static boolean isFinal(LogLine line) {
    return startsWithAny(line.message(), FINAL);
  }

  private static boolean startsWithAny(String message, List<String> begins) {
    return begins.stream().anyMatch(message::startsWith);
  }

  // ---- beliefs ----

  private List<LogLine> beliefs(List<LogLine> own, Instant end) {
    Instant from = own.get(0).at().minus(BELIEFS_BEFORE);
    Set<String> subjects = new TreeSet<>();
    Set<String> nodes = new TreeSet<>();
    own.forEach(line -> addNames(line, subjects, nodes));
    List<LogLine> found =
        logs.read(
            line ->
                line.field(REQUEST).isEmpty()
                    && !line.at().isBefore(from)
                    && !line.at().isAfter(end)
                    && touches(line, subjects, nodes));
    found.sort(Comparator.comparing(LogLine::at));
    return found.subList(Math.max(0, found.size() - MOST_BELIEFS), found.size());
  }

  private static void addNames(LogLine line, Set<String> subjects, Set<String> nodes) {
    nodes.add(line.node());
    String database = line.field("database");
    String member = line.field(MEMBER);
    for (String name : List.of("gateway", "holder", "sender")) {
      if (!line.field(name).isEmpty()) {
        nodes.add(line.field(name));
      }
    }
    if (!database.isEmpty()) {
      subjects.add(database);
    }
    if (!member.isEmpty()) {
      subjects.add(member.contains("/") || database.isEmpty() ? member : database + '/' + member);
    }
  }

  private static boolean touches(LogLine line, Set<String> subjects, Set<String> nodes) {
    boolean ofNode = nodes.contains(line.node()) && startsWithAny(line.message(), OWN_STATE);
    boolean ofSubject =
        subjects.contains(line.field(SUBJECT)) || nodes.contains(line.field(SUBJECT));
    boolean ofLeader = startsWithAny(line.message(), LEADERSHIP);
    return ofNode || ofSubject || ofLeader || mentions(line.message(), subjects);
  }

  private static boolean mentions(String message, Set<String> subjects) {
    return subjects.stream()
        .filter(each -> each.contains("/"))
        .anyMatch(each -> message.contains(' ' + each + ' '));
  }

  // ---- telling ----

  private static Explanation.Step stepOf(LogLine line, boolean ofRequest) {
    Map<String, String> inputs = new TreeMap<>(line.fields());
    inputs.keySet().removeAll(TOLD_APART);
    return new Explanation.Step(
        line.at(),
        line.node(),
        ofRequest,
        line.text(),
        line.firstOf("step", "plan", "kind"),
        peerOf(line),
        line.firstOf("outcome", "answer", "code", "decided"),
        inputs);
  }

  private static String peerOf(LogLine line) {
    String peer = line.firstOf("peer", MEMBER, "holder", SUBJECT);
    String gateway = line.field("gateway");
    return gateway.isEmpty() ? peer : peer + " through " + gateway;
  }

  private static String cause(LogLine last, List<LogLine> own, List<LogLine> beliefs) {
    String cause = describe(last);
    String before =
        own.stream()
            .filter(each -> !each.equals(last))
            .reduce((earlier, later) -> later)
            .map(each -> "; before it " + describe(each))
            .orElse("");
    String belief =
        beliefs.stream()
            .filter(each -> !each.field(SUBJECT).isEmpty())
            .reduce((earlier, later) -> later)
            .map(each -> "; last decided meanwhile: " + describe(each))
            .orElse("");
    return cause + before + belief;
  }

  private static String describe(LogLine line) {
    StringBuilder text = new StringBuilder(line.text());
    for (String name : List.of("cause", "detail", "outcome", "code", "step")) {
      if (!line.field(name).isEmpty()) {
        text.append(", ").append(name).append(' ').append(line.field(name));
      }
    }
    String peer = peerOf(line);
    return peer.isEmpty() ? text.toString() : text + ", peer " + peer;
  }
}
