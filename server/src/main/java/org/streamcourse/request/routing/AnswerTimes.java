package org.streamcourse.request.routing;

/**
 * How long one member takes to answer, as moving averages of the time and of its deviation, as
 * TCP's retransmission timer keeps them (RFC 6298). Both lose their weight while nothing is
 * answered.
 */
final class AnswerTimes {
  private static final double NEWEST = 0.1;
  private static final double NEWEST_DEVIATION = 0.25;

  /** Time in which an average that gets no new values loses most of its weight. */
  private static final double MEMORY_MILLIS = 2_000;

  /** Deviations above the average beyond which an answer is late, as in RFC 6298. */
  private static final double LATE_DEVIATIONS = 4;

  private final double firstMillis;
  private double averageMillis;
  private double deviationMillis;
  private long answeredMillis;

  /**
   * Creates times of a member that has answered nothing.
   *
   * @param firstMillis what is expected of it until it has
   */
  AnswerTimes(double firstMillis) {
    this.firstMillis = firstMillis;
    this.averageMillis = firstMillis;
    this.deviationMillis = firstMillis / 2;
  }

  void add(long tookMillis, long now) {
    double error = tookMillis - averageMillis;
    averageMillis += NEWEST * error;
    deviationMillis += NEWEST_DEVIATION * (Math.abs(error) - deviationMillis);
    answeredMillis = now;
  }

  /** The expected time, in milliseconds. */
  double expectedMillis(long now) {
    double age = now - answeredMillis;
    return firstMillis + (averageMillis - firstMillis) * Math.exp(-age / MEMORY_MILLIS);
  }

  /** Time after which an answer is far later than what was seen, in milliseconds. */
  long lateAfterMillis(long now) {
    return Math.round(expectedMillis(now) + LATE_DEVIATIONS * deviationMillis);
  }
}
