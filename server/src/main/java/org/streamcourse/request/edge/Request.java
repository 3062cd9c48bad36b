package org.streamcourse.request.edge;

import java.util.List;
import org.streamcourse.request.StreamMessage.Purpose;
import org.streamcourse.request.StreamMessage.Unit;
import org.streamcourse.version.image.TermPosition;

/**
 * A caller's request that opens a stream.
 *
 * @param group group's name
 * @param user caller's user name
 * @param purpose read or write
 * @param floor lowest log position that a read must observe
 * @param maxStalenessMillis the session's staleness limit; the group's rule may be stricter
 * @param settings statements that set the session's parameters
 * @param unit unit of work to run
 */
public record Request(
    String group,
    String user,
    Purpose purpose,
    TermPosition floor,
    long maxStalenessMillis,
    List<String> settings,
    Unit unit) {}
