package org.streamcourse.request.routing;

import java.util.Map;
import org.streamcourse.connection.member.MemberCommand;
import org.streamcourse.connection.member.MemberLink;
import org.streamcourse.request.statement.PreparedShape;
import org.streamcourse.request.statement.Statement;
import org.streamcourse.request.statement.StatementRequest;
import org.streamcourse.version.image.RouteConsistency;
import org.streamcourse.version.image.RouteRule;
import org.streamcourse.version.image.TenantId;
import org.streamcourse.version.image.TermPosition;

/**
 * A statement with the state of its session that its execution needs.
 *
 * @param request the statement
 * @param route route under which the statement runs
 * @param tenant tenant of the statement
 * @param shape shape of the executed prepared statement, or null for other statements
 * @param values session settings
 * @param lastCommit position of the session's newest acknowledged commit in the log of the route's
 *     service, or {@link TermPosition#ZERO}
 * @param traceId id of the statement with a number that is unique on this node
 */
public record StatementContext(
    StatementRequest request,
    RouteRule route,
    TenantId tenant,
    PreparedShape shape,
    Map<String, String> values,
    TermPosition lastCommit,
    String traceId) {
  /**
   * Part of a route's staleness limit that the floor uses; the rest covers the time until the read
   * reaches the member.
   */
  private static final double STALENESS_SHARE = 0.9;

  /**
   * Finds the lowest log position that a read of this session must observe.
   *
   * @param positions known positions of the primary's log
   * @param now current time
   * @return position, or null when no sample is recent enough
   */
  TermPosition floor(PrimaryPositions positions, long now) {
    long age = Math.round(route.maxStalenessMillis() * STALENESS_SHARE);
    TermPosition fresh = positions.floor(now, age);
    if (fresh == null) {
      return null;
    }
    boolean ownWrites = route.consistency() == RouteConsistency.SESSION;
    return ownWrites ? fresh.max(lastCommit) : fresh;
  }

  /**
   * Builds the command for the statement, preparing its shape on the link when it needs one.
   *
   * @param link link on which the command will be sent
   * @param floor lowest log position that the statement must observe, or null
   * @return command
   */
  public MemberCommand command(MemberLink link, TermPosition floor) {
    if (request.statement() instanceof Statement.Execute execute) {
      String name = link.prepare(shape);
      return new MemberCommand.RunPrepared(request.id(), name, execute.arguments(), floor);
    }
    return new MemberCommand.Run(request.id(), request.text(), floor);
  }

  /**
   * Returns whether the statement writes.
   *
   * @return true for a write and for the execution of a shape that writes
   */
  public boolean writes() {
    return shape == null ? request.statement() instanceof Statement.Write : shape.write();
  }

  /**
   * Returns whether the statement is a commit.
   *
   * @return true for a commit
   */
  public boolean isCommit() {
    return request.statement() instanceof Statement.Commit;
  }
}
