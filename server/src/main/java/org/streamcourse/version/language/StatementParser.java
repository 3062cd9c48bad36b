package org.streamcourse.version.language;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import org.streamcourse.process.ErrorCode;
import org.streamcourse.process.StreamcourseException;
import org.streamcourse.version.image.ClusterChange;
import org.streamcourse.version.image.ClusterChange.ConfigurationChange;
import org.streamcourse.version.image.ClusterImage;
import org.streamcourse.version.image.GroupImage;
import org.streamcourse.version.image.GroupRules;
import org.streamcourse.version.image.MemberImage;
import org.streamcourse.version.image.Placement;
import org.streamcourse.version.language.AdminStatement.Change;
import org.streamcourse.version.language.AdminStatement.Condition;
import org.streamcourse.version.language.AdminStatement.Operator;
import org.streamcourse.version.language.AdminStatement.Precondition;
import org.streamcourse.version.language.AdminStatement.Show;
import org.streamcourse.version.language.AdminStatement.Subject;
import org.streamcourse.version.language.AdminStatement.SwitchPrimary;
import org.streamcourse.version.language.generated.AdminLexer;
import org.streamcourse.version.language.generated.AdminParser;
import org.streamcourse.version.language.generated.AdminParser.AssignmentContext;
import org.streamcourse.version.language.generated.AdminParser.ChangeContext;
import org.streamcourse.version.language.generated.AdminParser.CreateGroupContext;
import org.streamcourse.version.language.generated.AdminParser.NameContext;
import org.streamcourse.version.language.generated.AdminParser.ShowContext;
import org.streamcourse.version.language.generated.AdminParser.ValueContext;

/** Parses operators' statements. Errors contain line, column and the expected tokens or values. */
public final class StatementParser {
  private static final String MAX_STALENESS = "max_staleness_ms";
  private static final String CATCH_UP_WAIT = "catch_up_wait_ms";
  private static final String READ_ON_PRIMARY = "read_on_primary";
  private static final String CONNECTIONS = "connections";
  private static final String SLOTS = "slots";

  private final ClusterImage image;

  /**
   * Creates a parser.
   *
   * @param image image that provides the values that an ALTER statement leaves unchanged
   */
  public StatementParser(ClusterImage image) {
    this.image = image;
  }

  /**
   * Parses one statement.
   *
   * @param text text of the statement
   * @return statement
   * @throws StreamcourseException with line and column of the first syntax error
   */
  public AdminStatement parse(String text) {
    AdminLexer lexer = new AdminLexer(CharStreams.fromString(text));
    AdminParser parser = new AdminParser(new CommonTokenStream(lexer));
    lexer.removeErrorListeners();
    parser.removeErrorListeners();
    lexer.addErrorListener(new ThrowingErrorListener());
    parser.addErrorListener(new ThrowingErrorListener());
    AdminParser.StatementContext statement = parser.script().statement();
    return statement.show() != null ? show(statement.show()) : change(statement.change());
  }

  private static final class ThrowingErrorListener extends BaseErrorListener {
    @Override
    public void syntaxError(
        Recognizer<?, ?> recognizer,
        Object symbol,
        int line,
        int column,
        String message,
        RecognitionException cause) {
      throw invalid("line " + line + ", column " + (column + 1) + ": " + message);
    }
  }

  private static StreamcourseException invalid(String message) {
    return new StreamcourseException(ErrorCode.INVALID_COMMAND, "parse-command", "", message);
  }

  // ---- queries ----

  private static Show show(ShowContext context) {
    Subject subject =
        Subject.valueOf(context.subject().getText().toUpperCase(java.util.Locale.ROOT));
    List<Condition> conditions =
        context.condition().stream()
            .map(
                each ->
                    new Condition(
                        text(each.name()),
                        Operator.of(each.operator.getText()),
                        text(each.value())))
            .toList();
    String orderBy = context.column == null ? "" : text(context.column);
    int limit =
        context.limit == null
            ? Integer.MAX_VALUE
            : (int) number(context.limit.getText(), "LIMIT", context.limit.getLine());
    return new Show(subject, conditions, orderBy, context.DESC() != null, limit);
  }

  // ---- commands ----

  private AdminStatement change(ChangeContext context) {
    Precondition precondition = precondition(context);
    AdminParser.ActionContext action = context.action();
    if (action instanceof AdminParser.SwitchPrimaryContext each) {
      return new SwitchPrimary(text(each.group), text(each.memberName), precondition);
    }
    return new Change(configurationChange(action), precondition);
  }

  private static Precondition precondition(ChangeContext context) {
    long version = -1;
    String command = "";
    for (AdminParser.PreconditionContext each : context.precondition()) {
      if (each.version != null) {
        version = number(each.version.getText(), "VERSION", each.version.getLine());
      } else {
        command = unquote(each.command.getText());
      }
    }
    return new Precondition(version, command);
  }

  private ConfigurationChange configurationChange(AdminParser.ActionContext action) {
    if (action instanceof CreateGroupContext each) {
      return new ClusterChange.GroupCreated(newGroup(each));
    }
    if (action instanceof AdminParser.AlterGroupContext each) {
      String name = text(each.group);
      GroupRules current = image.group(name).map(GroupImage::rules).orElse(GroupRules.DEFAULT);
      return new ClusterChange.RulesChanged(name, rules(current, each.assignment()));
    }
    if (action instanceof AdminParser.DropGroupContext each) {
      return new ClusterChange.GroupDropped(text(each.group));
    }
    if (action instanceof AdminParser.AlterMemberContext each) {
      return limits(text(each.group), text(each.memberName), each.assignment());
    }
    if (action instanceof AdminParser.DrainMemberContext each) {
      return new ClusterChange.MemberDrained(text(each.group), text(each.memberName), true);
    }
    if (action instanceof AdminParser.RestoreMemberContext each) {
      return new ClusterChange.MemberDrained(text(each.group), text(each.memberName), false);
    }
    if (action instanceof AdminParser.DrainNodeContext each) {
      return new ClusterChange.NodeDrained(text(each.node), true);
    }
    AdminParser.RestoreNodeContext each = (AdminParser.RestoreNodeContext) action;
    return new ClusterChange.NodeDrained(text(each.node), false);
  }

  private static GroupImage newGroup(CreateGroupContext context) {
    List<MemberImage> members = new ArrayList<>();
    for (AdminParser.MemberContext each : context.member()) {
      String address = unquote(each.address.getText());
      int colon = address.lastIndexOf(':');
      if (colon <= 0) {
        throw invalid(
            "line " + each.address.getLine() + ": member address must be 'HOST:PORT': " + address);
      }
      int line = each.address.getLine();
      members.add(
          new MemberImage(
              text(each.memberName),
              address.substring(0, colon),
              (int) number(address.substring(colon + 1), "port", line),
              new Placement(text(each.region), text(each.zone)),
              (int) number(each.connections.getText(), CONNECTIONS, line),
              (int) number(each.slots.getText(), SLOTS, line),
              false,
              List.of()));
    }
    GroupRules rules = rules(GroupRules.DEFAULT, context.assignment());
    return new GroupImage(text(context.group), 0, "", members, rules);
  }

  private static GroupRules rules(GroupRules current, List<AssignmentContext> assignments) {
    long staleness = current.maxStalenessMillis();
    long wait = current.catchUpWaitMillis();
    boolean readOnPrimary = current.readOnPrimary();
    for (AssignmentContext each : assignments) {
      String name = text(each.name());
      switch (name) {
        case MAX_STALENESS -> staleness = number(each);
        case CATCH_UP_WAIT -> wait = number(each);
        case READ_ON_PRIMARY -> readOnPrimary = bool(each);
        default ->
            throw unknownSetting(each, List.of(MAX_STALENESS, CATCH_UP_WAIT, READ_ON_PRIMARY));
      }
    }
    return new GroupRules(staleness, wait, readOnPrimary);
  }

  private ConfigurationChange limits(
      String group, String member, List<AssignmentContext> assignments) {
    MemberImage current = image.group(group).flatMap(each -> each.member(member)).orElse(null);
    int connections = current == null ? 1 : current.connectionLimit();
    int slots = current == null ? 1 : current.slotLimit();
    for (AssignmentContext each : assignments) {
      switch (text(each.name())) {
        case CONNECTIONS -> connections = (int) number(each);
        case SLOTS -> slots = (int) number(each);
        default -> throw unknownSetting(each, List.of(CONNECTIONS, SLOTS));
      }
    }
    return new ClusterChange.LimitsChanged(group, member, connections, slots);
  }

  // ---- settings and tokens ----

  private static StreamcourseException unknownSetting(
      AssignmentContext context, List<String> expected) {
    return invalid(
        location(context)
            + "unknown setting '"
            + text(context.name())
            + "', expected one of "
            + expected.stream().collect(Collectors.joining(", ")));
  }

  private static String location(AssignmentContext context) {
    return "line "
        + context.getStart().getLine()
        + ", column "
        + (context.getStart().getCharPositionInLine() + 1)
        + ": ";
  }

  private static long number(AssignmentContext context) {
    if (context.value().INTEGER() == null) {
      throw invalid(location(context) + "'" + text(context.name()) + "' needs a whole number");
    }
    return number(context.value().getText(), text(context.name()), context.getStart().getLine());
  }

  private static long number(String digits, String name, int line) {
    try {
      return Integer.parseInt(digits);
    } catch (NumberFormatException e) {
      throw invalid("line " + line + ": " + name + " is not a number in range: " + digits);
    }
  }

  private static boolean bool(AssignmentContext context) {
    if (context.value().TRUE() == null && context.value().FALSE() == null) {
      throw invalid(location(context) + "'" + text(context.name()) + "' needs true or false");
    }
    return context.value().TRUE() != null;
  }

  private static String text(NameContext name) {
    String text = name.getText();
    return name.QUOTED() == null ? text : text.substring(1, text.length() - 1);
  }

  private static String text(ValueContext value) {
    if (value.STRING() != null) {
      return unquote(value.getText());
    }
    return value.name() != null ? text(value.name()) : value.getText();
  }

  private static String unquote(String literal) {
    return literal.substring(1, literal.length() - 1).replace("''", "'");
  }
}
