package org.streamcourse.request.edge;

import org.streamcourse.version.image.MemberImage;

/**
 * Destination of one attempt.
 *
 * @param member member that is to run the request
 * @param gateway node through which the member is reached
 */
record RouteTarget(MemberImage member, String gateway) {}
