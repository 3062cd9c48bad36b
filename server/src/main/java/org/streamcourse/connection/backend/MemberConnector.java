package org.streamcourse.connection.backend;

import org.streamcourse.version.image.GroupImage;
import org.streamcourse.version.image.MemberImage;
import reactor.core.publisher.Mono;

/** Opens connections to members. */
public interface MemberConnector {
  /**
   * Opens a connection and logs in.
   *
   * @param group group of the member
   * @param member the member
   * @return connection that is ready for queries, or an error
   */
  Mono<MemberSession> connect(GroupImage group, MemberImage member);
}
