package org.streamcourse.version.language;

import java.util.List;
import org.streamcourse.process.ErrorCode;
import org.streamcourse.process.StreamcourseException;
import org.streamcourse.version.image.ClusterChange.ConfigurationChange;

/** A parsed statement of an operator. */
public sealed interface AdminStatement {
  /** Table that a SHOW statement returns. */
  enum Subject {
    /** Database groups. */
    GROUPS,
    /** Members of database groups. */
    MEMBERS,
    /** Nodes of the fleet. */
    NODES,
    /** Number of callers' sessions on each node. */
    SESSIONS,
    /** Versions of configuration and image, and the number of nodes that have the image. */
    VERSIONS,
    /** Recent decisions of the leader. */
    DECISIONS,
    /** Controllers. */
    CONTROLLERS,
    /** Tenants with their limits and numbers of admitted and refused operations. */
    TENANTS
  }

  /** Comparison operator of a condition. */
  enum Operator {
    /** Equal text. */
    EQUAL("="),
    /** Different text. */
    NOT_EQUAL("<>"),
    /** Smaller number, or text that sorts before. */
    LESS("<"),
    /** Larger number, or text that sorts after. */
    GREATER(">"),
    /** Text pattern, in which {@code %} matches any characters. */
    LIKE("LIKE");

    private final String sign;

    Operator(String sign) {
      this.sign = sign;
    }

    static Operator of(String text) {
      String wanted = text.equals("!=") ? NOT_EQUAL.sign : text;
      for (Operator each : values()) {
        if (each.sign.equalsIgnoreCase(wanted)) {
          return each;
        }
      }
      throw new StreamcourseException(
          ErrorCode.INVALID_COMMAND, "parse-command", "", "unknown operator " + text);
    }
  }

  /**
   * A filter on one column.
   *
   * @param column column name
   * @param operator comparison operator
   * @param value value with which the column is compared
   */
  record Condition(String column, Operator operator, String value) {}

  /**
   * A SHOW statement.
   *
   * @param subject table to show
   * @param conditions conditions that each row must match
   * @param orderBy column to sort by; empty for the natural order
   * @param descending whether the order is reversed
   * @param limit maximum number of rows
   */
  record Show(
      Subject subject, List<Condition> conditions, String orderBy, boolean descending, int limit)
      implements AdminStatement {}

  /**
   * Precondition and identification of a command.
   *
   * @param expectedVersion configuration version that must be current; -1 for any
   * @param commandId identifier by which a resent command is recognized; empty for none
   */
  record Precondition(long expectedVersion, String commandId) {}

  /**
   * A change of the configuration.
   *
   * @param change requested change
   * @param precondition precondition of the change
   */
  record Change(ConfigurationChange change, Precondition precondition) implements AdminStatement {}

  /**
   * A planned change of primary.
   *
   * @param group group's name
   * @param member member that becomes primary
   * @param precondition precondition of the change
   */
  record SwitchPrimary(String group, String member, Precondition precondition)
      implements AdminStatement {}
}
