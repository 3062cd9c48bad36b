package org.streamcourse.connection.backend;

import java.util.List;
import org.streamcourse.connection.wire.Backend;
import org.streamcourse.connection.wire.WireMessage;
import org.streamcourse.process.ErrorCode;
import org.streamcourse.process.StreamcourseException;
import org.streamcourse.version.control.MemberRole;
import org.streamcourse.version.control.MemberStatus;
import org.streamcourse.version.image.TermPosition;

/**
 * Statements that query and change a member's role in its group, and the parsing of their results.
 * All functions return one row: term, role, upstream, received, matched, applied.
 */
public final class MemberStatements {
  /** Queries the status. */
  public static final String STATUS = "SELECT * FROM group_status()";

  /** Subscribes to notifications of each change of the status. */
  public static final String LISTEN = "LISTEN group_status";

  /** Parameter in which a member reports the log position of a commit, before ReadyForQuery. */
  public static final String COMMIT_POSITION = "commit_position";

  /** SQLSTATE with which a member that is not the primary refuses a write. */
  public static final String READ_ONLY = "25006";

  /** Resets a connection to its state after login. */
  public static final String RESET = "DISCARD ALL";

  private static final int STATUS_FIELDS = 6;
  private static final String NOTIFICATION_SEPARATOR = ",";

  private MemberStatements() {}

  /**
   * Builds the order to fence the member against older terms.
   *
   * @param term term of the order
   * @return statement
   */
  public static String fence(long term) {
    return "SELECT * FROM group_fence(" + term + ")";
  }

  /**
   * Builds the order to become primary.
   *
   * @param term term of the order
   * @return statement
   */
  public static String promote(long term) {
    return "SELECT * FROM group_promote(" + term + ")";
  }

  /**
   * Builds the order to follow a primary.
   *
   * @param term term of the order
   * @param primary primary's name
   * @return statement
   */
  public static String follow(long term, String primary) {
    return "SELECT * FROM group_follow(" + term + ", '" + primary.replace("'", "''") + "')";
  }

  /**
   * Parses a status row.
   *
   * @param row data row
   * @return status
   */
  public static MemberStatus statusFromRow(WireMessage row) {
    return parse(Backend.readTextRow(row));
  }

  /**
   * Parses a status notification.
   *
   * @param message notification
   * @return status
   */
  public static MemberStatus statusFromNotification(WireMessage message) {
    WireMessage.Reader body = message.body();
    body.int32();
    body.text();
    return parse(List.of(body.text().split(NOTIFICATION_SEPARATOR, -1)));
  }

  /**
   * Formats a status as the fields of a row.
   *
   * @param status the status
   * @return six texts
   */
  public static List<String> fields(MemberStatus status) {
    return List.of(
        Long.toString(status.term()),
        status.role().name(),
        status.upstream(),
        status.received().toString(),
        status.matched().toString(),
        status.applied().toString());
  }

  /**
   * Formats a status as the payload of a notification.
   *
   * @param status the status
   * @return payload
   */
  public static String notificationPayload(MemberStatus status) {
    return String.join(NOTIFICATION_SEPARATOR, fields(status));
  }

  private static MemberStatus parse(List<String> fields) {
    if (fields.size() != STATUS_FIELDS) {
      throw new StreamcourseException(
          ErrorCode.PROTOCOL_VIOLATION,
          "read-status",
          "",
          "unexpected fields of a member's status: " + fields);
    }
    return new MemberStatus(
        Long.parseLong(fields.get(0)),
        MemberRole.valueOf(fields.get(1)),
        fields.get(2),
        TermPosition.parse(fields.get(3)),
        TermPosition.parse(fields.get(4)),
        TermPosition.parse(fields.get(5)));
  }
}
