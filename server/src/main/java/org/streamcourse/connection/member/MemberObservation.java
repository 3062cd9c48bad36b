package org.streamcourse.connection.member;

import org.streamcourse.version.image.TermPosition;

/**
 * What a node that holds connections to a member tells others of it, along with its answers. It is
 * used to choose a member, and never in place of the member's own check of a floor.
 *
 * @param position newest place that the member was seen to have, or null when none was
 * @param ageMillis time since then
 * @param lagMillis how long after the primary the member has a place, as estimated
 * @param lagGrowth how much that grew lately, in milliseconds a second
 * @param waitMillis expected wait for a connection
 * @param silentMillis how long the member has owed answers and said nothing; 0 when it owes none
 */
public record MemberObservation(
    TermPosition position,
    long ageMillis,
    long lagMillis,
    int lagGrowth,
    long waitMillis,
    long silentMillis) {}
