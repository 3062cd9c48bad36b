package org.streamcourse.lab.member;

import java.util.List;
import org.streamcourse.version.image.TermPosition;

/**
 * One committed transaction in the group's log.
 *
 * @param term term of the primary that committed the transaction
 * @param position offset in the log, starting at 1
 * @param statements writes of the transaction in order
 */
public record LogRecord(long term, long position, List<LoggedStatement> statements) {
  TermPosition termPosition() {
    return new TermPosition(term, position);
  }
}
