package org.streamcourse.connection.session;

import org.streamcourse.process.Worker;
import org.streamcourse.request.quota.OperationLimits;
import org.streamcourse.request.routing.MemberTable;
import org.streamcourse.request.routing.RequestLog;
import org.streamcourse.version.image.ClusterImage;

/** Services of a node that all its sessions share. */
public interface SessionNode {
  /**
   * Returns the worker.
   *
   * @return the proxy's worker
   */
  Worker worker();

  /**
   * Returns the members.
   *
   * @return members of all services
   */
  MemberTable members();

  /**
   * Returns the request log.
   *
   * @return log of routing decisions
   */
  RequestLog log();

  /**
   * Returns the limits of tenants.
   *
   * @return limits that admit or refuse operations
   */
  OperationLimits quotas();

  /**
   * Returns the image in force.
   *
   * @return newest image
   */
  ClusterImage image();

  /**
   * Returns whether sessions may begin.
   *
   * @return false while no configuration is in force
   */
  boolean isServing();

  /**
   * Returns whether the controllers have confirmed the image recently.
   *
   * @return false when a database that the document lacks may have been added since
   */
  boolean isConfirmed();

  /**
   * Returns whether the document in force is recent enough to check callers' keys.
   *
   * @return false when a revoked key might be accepted by this node for longer than allowed
   */
  boolean hasConfirmedKeys();

  /**
   * Called when a session has ended.
   *
   * @param session the session
   */
  void ended(ClientSession session);
}
