package org.streamcourse.connection.member;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.streamcourse.request.statement.Answer;

/** The commands of one link that were sent and not answered yet, in the order of their sending. */
final class OutstandingCommands {
  /**
   * A command that was sent.
   *
   * @param command the command
   * @param listener is notified of the outcome
   * @param sentMillis worker time of sending
   * @param slot slot of the member that the command takes, null when it takes none
   */
  record Sent(
      MemberCommand command, CommandListener listener, long sentMillis, MemberSlots.Use slot) {}

  private final Deque<Sent> commands = new ArrayDeque<>();
  private long lastAnswerMillis;

  boolean isEmpty() {
    return commands.isEmpty();
  }

  void add(Sent sent) {
    commands.addLast(sent);
  }

  /** Returns whether an answer can be that to the oldest command; false when there is none. */
  boolean fits(Answer answer) {
    return !commands.isEmpty() && AnswerMatch.fits(commands.peekFirst().command(), answer);
  }

  /** Returns the kind of the oldest command, for logs. */
  String oldestKind() {
    return commands.isEmpty() ? "none" : commands.peekFirst().command().getClass().getSimpleName();
  }

  /** Removes and returns the oldest command, which was answered. */
  Sent takeAnswered(long now) {
    lastAnswerMillis = now;
    return commands.pollFirst();
  }

  /** Removes and returns all commands, oldest first. */
  List<Sent> takeAll() {
    List<Sent> all = List.copyOf(commands);
    commands.clear();
    return all;
  }

  /** Returns when the oldest command was sent, or {@link Long#MAX_VALUE}. */
  long oldestMillis() {
    return commands.isEmpty() ? Long.MAX_VALUE : commands.peekFirst().sentMillis();
  }

  /**
   * Returns when the oldest command was sent if its answer is overdue, else {@link Long#MAX_VALUE}.
   * Its time counts from when it became the oldest.
   */
  long overdueSinceMillis(long now) {
    if (commands.isEmpty()) {
      return Long.MAX_VALUE;
    }
    Sent oldest = commands.peekFirst();
    long waitsSince = Math.max(oldest.sentMillis(), lastAnswerMillis);
    boolean overdue = now - waitsSince > AnswerLimits.of(oldest.command());
    return overdue ? oldest.sentMillis() : Long.MAX_VALUE;
  }

  /** Returns whether a command was answered at or after a time. */
  boolean hasAnswerSince(long sinceMillis) {
    return lastAnswerMillis >= sinceMillis;
  }
}
