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
 * Collects from the logs of all processes the lines that explain how a request ended: the lines
 * that carry the request's id, and state changes of its database, members and nodes shortly before
 * and during the request.
 */
public final class RequestExplainer {
  private static final String REQUEST = "request";
  private static final String MEMBER = "member";
  private static final String SUBJECT = "subject";

  /**
   * State changes that precede the request's first line by more than this are left out. A change of
   * primary, with the events that cause it, completes within this time.
   */
  private static final Duration STATE_CHANGE_WINDOW = Duration.ofSeconds(10);

  /** Only the newest state changes are listed, at most this many. */
  private static final int MAX_STATE_CHANGES = 20;

  /** Prefixes of messages that report how a request ended. */
  private static final List<String> FINAL_MESSAGES =
      List.of("request failed", "statement answered", "statement given up", "statement over limit");

  /**
   * Prefixes of messages about a node's state, listed for nodes that handled the request. Here and
   * below, prefixes that no current message has stay listed, since logs of earlier builds are read
   * too.
   */
  private static final List<String> NODE_STATE =
      List.of(
          "confirmed by",
          "installs the stored image",
          "takes a stored image",
          "proxy ",
          "stops",
          "planned stop",
          "requests the image of",
          "asks ");

  /** Prefixes of messages about leadership and voters of the controllers. */
  private static final List<String> LEADERSHIP_MESSAGES =
      List.of(
          "became leader",
          "lost leadership",
          "resigned leadership",
          "proposing voters",
          "leads term",
          "no longer leads",
          "steps down",
          "changes voters");

  /** Fields that have a column of their own in a step, and are left out of its inputs. */
  private static final Set<String> SHOWN_SEPARATELY =
      Set.of(
          REQUEST, "step", "plan", "kind", "outcome", "answer", "code", "decided", "peer", MEMBER,
          "gateway", "holder", SUBJECT);

  private final LogFolder logs;

  /**
   * Opens the logs.
   *
   * @param folder folder with one or several files of JSON lines for each process
   * @throws StreamcourseException if the path is not a folder
   */
  public RequestExplainer(Path folder) {
    logs = new LogFolder(folder);
  }

  /**
   * Explains a request.
   *
   * @param id id from the error that the caller received, or the client's statement id
   * @return decisions and state changes that led to the request's end
   * @throws StreamcourseException if no line carries the id
   */
  public Explanation explain(String id) {
    List<LogLine> own = logs.read(line -> isSameRequest(line.field(REQUEST), id));
    if (own.isEmpty()) {
      throw new StreamcourseException(
          ErrorCode.INVALID_SETTINGS,
          "explain",
          "",
          "ID: no line in the folder of --logs names the request " + id);
    }
    own.sort(Comparator.comparing(LogLine::at).thenComparing(LogLine::writtenAt));
    LogLine last = lastDecision(own);
    List<LogLine> stateChanges = stateChanges(own, last.writtenAt());
    List<LogLine> all = new ArrayList<>(own);
    all.addAll(stateChanges);
    all.sort(Comparator.comparing(LogLine::at).thenComparing(line -> line.equals(last)));
    List<Explanation.Step> steps =
        all.stream().map(line -> stepOf(line, own.contains(line))).toList();
    return new Explanation(id, steps, isFinal(last), cause(last, own, stateChanges));
  }

  /**
   * Compares ids with and without the suffix {@code @SESSION}: a node that runs a statement for
   * another node logs the id without the session's number.
   */
  private static boolean isSameRequest(String field, String id) {
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
    return startsWithAny(line.message(), FINAL_MESSAGES);
  }

  private static boolean startsWithAny(String message, List<String> prefixes) {
    return prefixes.stream().anyMatch(message::startsWith);
  }

  // ---- state changes ----

  private List<LogLine> stateChanges(List<LogLine> own, Instant end) {
    Instant from = own.get(0).at().minus(STATE_CHANGE_WINDOW);
    Set<String> subjects = new TreeSet<>();
    Set<String> nodes = new TreeSet<>();
    own.forEach(line -> addNames(line, subjects, nodes));
    List<LogLine> found =
        logs.read(
            line ->
                line.field(REQUEST).isEmpty()
                    && !line.at().isBefore(from)
                    && !line.at().isAfter(end)
                    && concerns(line, subjects, nodes));
    found.sort(Comparator.comparing(LogLine::at));
    return found.subList(Math.max(0, found.size() - MAX_STATE_CHANGES), found.size());
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

  private static boolean concerns(LogLine line, Set<String> subjects, Set<String> nodes) {
    boolean aboutNode = nodes.contains(line.node()) && startsWithAny(line.message(), NODE_STATE);
    boolean aboutSubject =
        subjects.contains(line.field(SUBJECT)) || nodes.contains(line.field(SUBJECT));
    boolean aboutLeader = startsWithAny(line.message(), LEADERSHIP_MESSAGES);
    return aboutNode || aboutSubject || aboutLeader || mentions(line.message(), subjects);
  }

  private static boolean mentions(String message, Set<String> subjects) {
    return subjects.stream()
        .filter(each -> each.contains("/"))
        .anyMatch(each -> message.contains(' ' + each + ' '));
  }

  // ---- formatting ----

  private static Explanation.Step stepOf(LogLine line, boolean ofRequest) {
    Map<String, String> inputs = new TreeMap<>(line.fields());
    inputs.keySet().removeAll(SHOWN_SEPARATELY);
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

  private static String cause(LogLine last, List<LogLine> own, List<LogLine> stateChanges) {
    String cause = describe(last);
    String before =
        own.stream()
            .filter(each -> !each.equals(last))
            .reduce((earlier, later) -> later)
            .map(each -> "; before it " + describe(each))
            .orElse("");
    String stateChange =
        stateChanges.stream()
            .filter(each -> !each.field(SUBJECT).isEmpty())
            .reduce((earlier, later) -> later)
            .map(each -> "; last decided meanwhile: " + describe(each))
            .orElse("");
    return cause + before + stateChange;
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
