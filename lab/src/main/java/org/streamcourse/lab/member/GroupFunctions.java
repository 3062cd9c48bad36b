package org.streamcourse.lab.member;

import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.streamcourse.connection.backend.MemberStatements;
import org.streamcourse.lab.member.Member.WrongRoleException;
import org.streamcourse.version.control.MemberStatus;

/** SQL functions that return and change a member's role and term in its group. */
final class GroupFunctions {
  /** Columns of the row that each of the functions returns. */
  static final List<String> COLUMNS =
      List.of("term", "role", "upstream", "received", "matched", "applied");

  private static final Pattern CALL =
      Pattern.compile(
          "SELECT \\* FROM (group_\\w+|lab_\\w+)\\((\\d+)?(?:, '([^']*)')?\\)",
          Pattern.CASE_INSENSITIVE);

  private GroupFunctions() {}

  static boolean isCall(String sql) {
    return CALL.matcher(sql).matches();
  }

  /** Executes a call and returns its row. */
  static List<String> call(Member member, String sql) throws SqlError {
    Matcher call = CALL.matcher(sql);
    if (!call.matches()) {
      throw new SqlError("42601", "not a group function: " + sql);
    }
    long number = call.group(2) == null ? 0 : Long.parseLong(call.group(2));
    try {
      MemberStatus status =
          switch (call.group(1)) {
            case "group_status" -> member.status();
            case "group_fence" -> member.fence(number);
            case "group_promote" -> member.promote(number);
            case "group_follow" -> member.follow(number, call.group(3));
            case "lab_set_lag" -> {
              member.setLagMillis(number);
              yield member.status();
            }
            default -> throw new SqlError("42883", "unknown function " + call.group(1));
          };
      return MemberStatements.fields(status);
    } catch (WrongRoleException e) {
      throw new SqlError("55000", e.getMessage());
    }
  }
}
