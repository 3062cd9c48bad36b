package org.streamcourse.request.quota;

import java.util.List;
import org.streamcourse.connection.peer.OneWayMessage;
import org.streamcourse.version.image.TenantId;

/**
 * Messages between a node that has an operation of a tenant with a limit and the tenant's quota
 * server, the node that counts the tenant's operations.
 *
 * <p>An operation's number is its node's own and is not used again by the same run of the node.
 */
public sealed interface QuotaMessage {
  /**
   * Asks for operations; without any it asks for a sign of life.
   *
   * @param firstNumber number of the first one; the others have the numbers that follow
   * @param tenants whose operations they are, one for each
   */
  record Ask(int firstNumber, List<TenantId> tenants) implements QuotaMessage {}

  /**
   * Operations that their nodes will certainly not run: they do not count, and need no answer.
   *
   * @param numbers numbers of the operations
   */
  record NotRun(int[] numbers) implements QuotaMessage, OneWayMessage {}

  /**
   * Operations that may run; they count from now on. Without any it is a sign of life.
   *
   * @param numbers numbers of the operations
   */
  record Admitted(int[] numbers) implements QuotaMessage, OneWayMessage {}

  /**
   * Operations that wait at the quota server.
   *
   * @param numbers numbers of the operations
   */
  record Waits(int[] numbers) implements QuotaMessage, OneWayMessage {}

  /**
   * An operation that may not run now.
   *
   * @param number number of the operation
   * @param reason kind of refusal
   * @param used operations in the window at the quota server
   * @param share operations that the quota server may admit in a window
   * @param retryAfterMillis when there may be room
   */
  record Refused(int number, QuotaRefusal.Reason reason, int used, int share, long retryAfterMillis)
      implements QuotaMessage, OneWayMessage {}
}
