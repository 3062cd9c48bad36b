package org.streamcourse.request.quota;

import java.util.List;
import org.streamcourse.connection.peer.OneWayMessage;
import org.streamcourse.version.image.TenantId;

/**
 * Messages between a node that has an operation of a tenant with a limit and the tenant's quota
 * server, the node that counts the tenant's operations.
 *
 * <p>A node numbers its operations itself; an incarnation does not use a number twice.
 */
public sealed interface QuotaMessage {
  /**
   * Requests to run operations. Without operations, the message is a ping.
   *
   * @param firstNumber number of the first operation; the others have the following numbers
   * @param tenants tenant of each operation
   */
  record Ask(int firstNumber, List<TenantId> tenants) implements QuotaMessage {}

  /**
   * Operations that the sender will certainly not run; they do not count and need no answer.
   *
   * @param numbers numbers of the operations
   */
  record NotRun(int[] numbers) implements QuotaMessage, OneWayMessage {}

  /**
   * Operations that are admitted; they count from now on. Without operations, the message is a
   * liveness reply.
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
   * An operation that is refused.
   *
   * @param number number of the operation
   * @param reason reason of the refusal
   * @param used operations in the window at the quota server
   * @param share operations that the quota server may admit in a window
   * @param retryAfterMillis time until the quota server may have capacity
   */
  record Refused(int number, QuotaRefusal.Reason reason, int used, int share, long retryAfterMillis)
      implements QuotaMessage, OneWayMessage {}
}
