package org.streamcourse.connection.session;

import org.streamcourse.process.Worker;
import org.streamcourse.request.quota.OperationLimits;
import org.streamcourse.request.routing.MemberTable;
import org.streamcourse.request.routing.RequestLog;
import org.streamcourse.version.image.ClusterImage;

/** What all sessions of a node share. */
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
   * Returns the log.
   *
   * @return log of decisions
   */
  RequestLog log();

  /**
   * Returns the limits of tenants.
   *
   * @return decides whether operations may run
   */
  OperationLimits quotas();

  /**
   * Returns the image in force.
   *
   * @return newest image
   */
  ClusterImage image();

  /**
   * Tells whether sessions may begin.
   *
   * @return false while no configuration is in force
   */
  boolean isServing();

  /**
   * Tells whether the document in force is known well enough to check callers' keys.
   *
   * @return false when a key that was taken away might still count here for too long
   */
  boolean knowsKeys();

  /**
   * A session has ended.
   *
   * @param session the session
   */
  void ended(ClientSession session);
}
