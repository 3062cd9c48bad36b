package org.streamcourse.connection.peer;

import static net.logstash.logback.argument.StructuredArguments.keyValue;

import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamcourse.process.LineBudget;

/** Logs the end of peer links, limited to a number of lines per second. */
final class LinkLog {
  private static final Logger LOG = LoggerFactory.getLogger(LinkLog.class);
  private static final int LINES_PER_SECOND = 100;

  private final LineBudget budget = new LineBudget(LINES_PER_SECOND, LinkLog::nowMillis);

  private static long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  /**
   * Logs that a link opened by this process has ended.
   *
   * @param peer name of the peer
   * @param link number of the link in this process
   * @param messages number of messages written to the link; they may or may not have arrived
   * @param openedNanos when the link was opened, by {@link System#nanoTime}
   */
  void ended(String peer, long link, long messages, long openedNanos) {
    if (budget.take()) {
      LOG.info(
          "link ended {} {} {} {} {}",
          keyValue("peer", peer),
          keyValue("link", link),
          keyValue("messages", messages),
          keyValue("ageMillis", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - openedNanos)),
          keyValue("linesDropped", budget.takeDropped()));
    }
  }

  /**
   * Logs that a link opened by a peer has ended.
   *
   * @param peer name of the peer
   */
  void endedByPeer(String peer) {
    if (budget.take()) {
      LOG.info(
          "link of a peer ended {} {}",
          keyValue("peer", peer),
          keyValue("linesDropped", budget.takeDropped()));
    }
  }

  /**
   * Logs that messages queued for a link are dropped.
   *
   * @param peer name of the peer
   * @param messages number of dropped messages
   * @param cause why there is no link
   */
  void dropped(String peer, int messages, String cause) {
    if (budget.take()) {
      LOG.info(
          "messages dropped, no link {} {} {} {}",
          keyValue("peer", peer),
          keyValue("messages", messages),
          keyValue("cause", cause),
          keyValue("linesDropped", budget.takeDropped()));
    }
  }
}
