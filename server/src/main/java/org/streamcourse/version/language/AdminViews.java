package org.streamcourse.version.language;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.streamcourse.process.ErrorCode;
import org.streamcourse.process.StreamcourseException;
import org.streamcourse.version.agreement.VoterSet;
import org.streamcourse.version.control.AdminResult;
import org.streamcourse.version.control.ControlMessage.MemberReport;
import org.streamcourse.version.control.Controller;
import org.streamcourse.version.control.Decision;
import org.streamcourse.version.control.QuotaPlanner;
import org.streamcourse.version.image.ClusterImage;
import org.streamcourse.version.image.GroupImage;
import org.streamcourse.version.image.MemberImage;
import org.streamcourse.version.image.NodeImage;
import org.streamcourse.version.image.TenantRule;
import org.streamcourse.version.language.AdminStatement.Condition;
import org.streamcourse.version.language.AdminStatement.Show;

/** The tables that SHOW statements return. */
final class AdminViews {
  private record View(List<String> columns, List<List<String>> rows) {}

  private AdminViews() {}

  static AdminResult show(Controller controller, Show show) {
    View view =
        switch (show.subject()) {
          case GROUPS -> groups(controller);
          case MEMBERS -> members(controller);
          case NODES -> nodes(controller);
          case SESSIONS -> sessions(controller);
          case VERSIONS -> versions(controller);
          case DECISIONS -> decisions(controller);
          case CONTROLLERS -> controllers(controller);
          case TENANTS -> tenants(controller);
        };
    Stream<List<String>> rows = view.rows().stream();
    for (Condition condition : show.conditions()) {
      int column = columnIndex(view, condition.column());
      rows = rows.filter(row -> matches(condition, row.get(column)));
    }
    if (!show.orderBy().isEmpty()) {
      int column = columnIndex(view, show.orderBy());
      Comparator<List<String>> order = (a, b) -> compare(a.get(column), b.get(column));
      rows = rows.sorted(show.descending() ? order.reversed() : order);
    }
    return new AdminResult(view.columns(), rows.limit(show.limit()).toList(), "SHOW", "", "");
  }

  private static int columnIndex(View view, String column) {
    int index = view.columns().indexOf(column);
    if (index < 0) {
      throw new StreamcourseException(
          ErrorCode.INVALID_COMMAND,
          "show",
          "",
          "unknown column '" + column + "', expected one of " + view.columns());
    }
    return index;
  }

  private static boolean matches(Condition condition, String actual) {
    return switch (condition.operator()) {
      case EQUAL -> actual.equals(condition.value());
      case NOT_EQUAL -> !actual.equals(condition.value());
      case LESS -> compare(actual, condition.value()) < 0;
      case GREATER -> compare(actual, condition.value()) > 0;
      case LIKE -> likePattern(condition.value()).matcher(actual).matches();
    };
  }

  private static Pattern likePattern(String pattern) {
    String quoted = Pattern.quote(pattern).replace("%", "\\E.*\\Q");
    return Pattern.compile(quoted, Pattern.DOTALL);
  }

  /** Compares two values as numbers if both are integers, otherwise as text. */
  private static int compare(String a, String b) {
    try {
      return Long.compare(Long.parseLong(a), Long.parseLong(b));
    } catch (NumberFormatException e) {
      return a.compareTo(b);
    }
  }

  private static View groups(Controller controller) {
    List<List<String>> rows = new ArrayList<>();
    for (GroupImage group : controller.image().groups().values()) {
      rows.add(
          List.of(
              group.name(),
              Long.toString(group.term()),
              group.primary(),
              Integer.toString(group.members().size()),
              Long.toString(group.rules().maxStalenessMillis()),
              Long.toString(group.rules().catchUpWaitMillis()),
              Boolean.toString(group.rules().readOnPrimary())));
    }
    return new View(
        List.of(
            "group",
            "term",
            "primary",
            "members",
            "max_staleness_ms",
            "catch_up_wait_ms",
            "read_on_primary"),
        rows);
  }

  private static View members(Controller controller) {
    List<List<String>> rows = new ArrayList<>();
    for (GroupImage group : controller.image().groups().values()) {
      for (MemberImage member : group.members()) {
        rows.add(memberRow(controller, group, member));
      }
    }
    return new View(
        List.of(
            "group",
            "member",
            "address",
            "region",
            "zone",
            "connections",
            "slots",
            "draining",
            "gateways",
            "reachable",
            "term",
            "role",
            "received",
            "applied"),
        rows);
  }

  private static List<String> memberRow(
      Controller controller, GroupImage group, MemberImage member) {
    Optional<MemberReport> report = controller.report(group.name(), member.name());
    return List.of(
        group.name(),
        member.name(),
        member.host() + ":" + member.port(),
        member.placement().region(),
        member.placement().zone(),
        Integer.toString(member.connectionLimit()),
        Integer.toString(member.slotLimit()),
        Boolean.toString(member.draining()),
        member.allowances().toString(),
        report.map(each -> Boolean.toString(each.reachable())).orElse("unknown"),
        report.map(each -> Long.toString(each.status().term())).orElse(""),
        report.map(each -> each.status().role().name()).orElse(""),
        report.map(each -> each.status().received().toString()).orElse(""),
        report.map(each -> each.status().applied().toString()).orElse(""));
  }

  private static View nodes(Controller controller) {
    List<List<String>> rows = new ArrayList<>();
    for (NodeImage node : controller.image().nodes().values()) {
      rows.add(
          List.of(
              node.name(),
              node.host() + ":" + node.port(),
              node.placement().region(),
              node.placement().zone(),
              Long.toString(node.incarnation()),
              Boolean.toString(node.draining()),
              controller.millisSinceHeartbeat(node.name()).map(String::valueOf).orElse("")));
    }
    return new View(
        List.of("node", "address", "region", "zone", "incarnation", "draining", "silent_ms"), rows);
  }

  private static View sessions(Controller controller) {
    List<List<String>> rows = new ArrayList<>();
    for (NodeImage node : controller.image().nodes().values()) {
      rows.add(
          List.of(node.name(), controller.sessionsOf(node.name()).map(String::valueOf).orElse("")));
    }
    return new View(List.of("node", "sessions"), rows);
  }

  private static View versions(Controller controller) {
    ClusterImage image = controller.image();
    long upToDate = controller.nodesWithVersion(image.version());
    return new View(
        List.of("configuration_version", "image_version", "nodes", "nodes_in_force"),
        List.of(
            List.of(
                Long.toString(image.configurationVersion()),
                Long.toString(image.version()),
                Integer.toString(image.nodes().size()),
                Long.toString(upToDate))));
  }

  private static View decisions(Controller controller) {
    List<List<String>> rows = new ArrayList<>();
    for (Decision decision : controller.decisions()) {
      rows.add(
          List.of(
              Long.toString(decision.atMillis()),
              decision.kind().name(),
              decision.subject(),
              decision.cause(),
              decision.inputs(),
              decision.outcome()));
    }
    return new View(List.of("at_ms", "kind", "subject", "cause", "inputs", "outcome"), rows);
  }

  /** Returns one row for each tenant, with the number of its keys and never a key itself. */
  private static View tenants(Controller controller) {
    List<List<String>> rows = new ArrayList<>();
    for (TenantRule rule : controller.image().document().tenants()) {
      QuotaPlanner.Usage usage = controller.quotas().usage(rule);
      rows.add(
          List.of(
              rule.id().value(),
              Integer.toString(rule.priority()),
              Integer.toString(rule.keys().size()),
              rule.isLimited() ? Double.toString(rule.ratePerSecond()) : "",
              rule.isLimited() ? Double.toString(rule.burst()) : "",
              Integer.toString(usage.budget()),
              Integer.toString(usage.shared()),
              Integer.toString(usage.holders()),
              Long.toString(usage.admitted()),
              Long.toString(usage.refused()),
              Long.toString(usage.sinceMillis())));
    }
    return new View(
        List.of(
            "tenant",
            "priority",
            "keys",
            "rate",
            "burst",
            "window_limit",
            "window_shared",
            "nodes",
            "admitted",
            "refused",
            "since_ms"),
        rows);
  }

  private static View controllers(Controller controller) {
    VoterSet voters = controller.agreement().voters();
    String leader = controller.agreement().leader().orElse("");
    List<List<String>> rows = new ArrayList<>();
    for (String identity : voters.all()) {
      String role = voters.voters().contains(identity) ? "voter" : "learner";
      rows.add(
          List.of(
              VoterSet.nameOf(identity),
              identity,
              identity.equals(leader) ? "leader" : role,
              Long.toString(controller.agreement().term()),
              Long.toString(controller.agreement().commitIndex())));
    }
    return new View(List.of("controller", "identity", "role", "term", "commit_index"), rows);
  }
}
