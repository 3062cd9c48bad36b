package org.streamcourse.connection.member;

import org.streamcourse.version.image.TermPosition;

/**
 * State of a member as a holder observes it, sent to other nodes with answers. It is used to choose
 * a member for a read, never instead of the member's own check of a floor.
 *
 * @param position newest log position observed at the member, or null when none was
 * @param ageMillis time since the position was observed
 * @param lagMillis estimated replication lag
 * @param lagGrowth recent growth of the lag, in milliseconds per second
 * @param waitMillis expected wait for a connection at the holder
 * @param silentMillis time for which answers have been outstanding without any response; 0 when
 *     none is outstanding
 */
public record MemberObservation(
    TermPosition position,
    long ageMillis,
    long lagMillis,
    int lagGrowth,
    long waitMillis,
    long silentMillis) {}
