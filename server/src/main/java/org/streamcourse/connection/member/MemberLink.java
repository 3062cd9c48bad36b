package org.streamcourse.connection.member;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamcourse.process.Worker;
import org.streamcourse.request.statement.Answer;
import org.streamcourse.request.statement.PreparedShape;
import org.streamcourse.request.statement.SessionState;
import org.streamcourse.version.image.MemberId;
import org.streamcourse.version.image.TenantId;

/**
 * One connection to a member, used by one session at a time. It tracks the session values and
 * prepared statements of the connection, and sets them to those of a session before a statement
 * runs.
 *
 * <p>Invariants: commands are answered in the order in which they were sent, and an answer that
 * can't be that to the oldest command ends the link ({@link AnswerMatch}); a link with an
 * outstanding answer is never granted to another session; it carries statements of one tenant only.
 *
 * <p>All methods run on the proxy's worker.
 */
public final class MemberLink implements MemberChannel.Listener {
  private static final Logger LOG = LoggerFactory.getLogger(MemberLink.class);

  private static final int MAX_PREPARED = 256;
  private static final String PREPARED_PREFIX = "p";

  /** Deadline of a command that waits for a slot until it gets one or the link ends. */
  private static final long UNTIL_SENT = Long.MAX_VALUE;

  /** Slot time of a use whose command got no slot; it doesn't count for the average work time. */
  static final long NO_SLOT = -1;

  /** Is notified of events that concern the whole link. */
  interface Owner {
    /** Called when the member has accepted the link. */
    void opened(MemberLink link);

    /** Called when the member sent an answer, or its host accepted the network connection. */
    void responded(MemberLink link);

    /** Called when the link has ended; {@code refusal} is null unless the member refused it. */
    void ended(MemberLink link, Answer refusal, String cause);
  }

  /** A command that waits for one of the member's slots, or behind a command that does. */
  private record Waiting(MemberCommand command, CommandListener listener) {}

  private final Worker worker;
  private final String service;
  private final MemberId member;
  private final TenantId tenant;
  private final Owner owner;
  private final MemberSlots slots;
  private final OutstandingCommands outstanding = new OutstandingCommands();
  private final Deque<Waiting> waiting = new ArrayDeque<>();
  private final Map<String, String> values = new HashMap<>();
  private final Map<PreparedShape, String> prepared = new LinkedHashMap<>();
  private MemberChannel channel;
  private SessionState state = SessionState.IDLE;
  private boolean open;
  private boolean relayed;
  private boolean ended;
  private boolean rollingBack;
  private long slotMillis;

  /** The newest guarded read, or null when another command followed it. */
  private GuardedRead guarded;

  private Runnable rolledBack = () -> {};

  MemberLink(
      Worker worker,
      String service,
      MemberId member,
      TenantId tenant,
      MemberSlots slots,
      Owner owner) {
    this.worker = worker;
    this.service = service;
    this.member = member;
    this.tenant = tenant;
    this.slots = slots;
    this.owner = owner;
  }

  /**
   * Returns the member.
   *
   * @return identity of the member at the other end
   */
  public MemberId member() {
    return member;
  }

  /** Returns the tenant whose statements the link carries; it never changes. */
  TenantId tenant() {
    return tenant;
  }

  /**
   * Returns the state of the session at the member.
   *
   * @return state that came with the newest answer
   */
  public SessionState state() {
    return state;
  }

  /**
   * Returns whether commands can be sent.
   *
   * @return true from the member's acceptance to the end of the connection
   */
  public boolean isOpen() {
    return open && !ended;
  }

  /** Returns whether the connection is established; the link may still wait for a slot to open. */
  boolean isConnected() {
    return channel != null;
  }

  /**
   * Returns whether the member is reached through another node. Such a link serves one statement or
   * transaction.
   *
   * @return false for a connection of this node to the member
   */
  public boolean isRelayed() {
    return relayed;
  }

  /** Makes this a relayed link over a channel through another node; the link is open at once. */
  void openRelayed(MemberChannel relay) {
    relayed = true;
    channel = relay;
    open = true;
  }

  boolean hasValues(Map<String, String> wanted) {
    return values.equals(wanted);
  }

  boolean isPlain() {
    return values.isEmpty();
  }

  /** Returns when the oldest unanswered command was sent, or {@link Long#MAX_VALUE}. */
  long oldestUnansweredMillis() {
    return outstanding.oldestMillis();
  }

  /** Returns the commands that were sent and are unanswered. */
  OutstandingCommands outstanding() {
    return outstanding;
  }

  /** Returns whether a command was sent and not answered, or waits to be sent. */
  boolean hasOutstanding() {
    return !outstanding.isEmpty() || !waiting.isEmpty();
  }

  // ---- use by a session ----

  /**
   * Sets the session values of this link to those of a session. If a value can't be set, the link
   * is closed before the session's statement is answered.
   *
   * @param wanted values of the session
   */
  public void applyValues(Map<String, String> wanted) {
    if (!wanted.keySet().containsAll(values.keySet()) || prepared.size() > MAX_PREPARED) {
      send(new MemberCommand.ResetSession(), new SessionSetup());
      values.clear();
      prepared.clear();
    }
    wanted.forEach(
        (name, value) -> {
          if (!value.equals(values.put(name, value))) {
            send(new MemberCommand.SetSessionValue(name, value), new SessionSetup());
          }
        });
  }

  /**
   * Returns the name of a prepared statement on this link, and prepares it if needed.
   *
   * @param shape statement to execute
   * @return name on this link
   */
  public String prepare(PreparedShape shape) {
    String existing = prepared.get(shape);
    if (existing != null) {
      return existing;
    }
    String name = PREPARED_PREFIX + prepared.size();
    prepared.put(shape, name);
    send(new MemberCommand.PrepareStatement(name, shape), new SessionSetup());
    return name;
  }

  /**
   * Sends a command after those that prepare the session for it.
   *
   * @param command command to send
   * @param listener is notified once of the outcome
   */
  public void run(MemberCommand command, CommandListener listener) {
    run(command, listener, UNTIL_SENT);
  }

  /**
   * Sends a command like {@link #run(MemberCommand, CommandListener)} if it gets a slot in time.
   *
   * @param command command to send
   * @param listener is notified once of the outcome
   * @param untilMillis worker time until which it may wait; the link remains usable after that
   */
  public void run(MemberCommand command, CommandListener listener, long untilMillis) {
    if (!isOpen()) {
      listener.notSent("the connection has ended");
      return;
    }
    guarded = null;
    send(command, listener, untilMillis);
    channel.flush();
  }

  /**
   * Runs a read in a transaction that only a primary accepts and that is rolled back right after
   * the read. Over a relayed link this takes one message in each direction.
   *
   * @param read command to send within the transaction
   * @param listener is notified of the read's answer, or of the failure to begin the transaction
   * @param untilMillis worker time until which the read may wait for a slot
   */
  public void runGuarded(MemberCommand read, CommandListener listener, long untilMillis) {
    if (!isOpen()) {
      listener.notSent("the connection has ended");
      return;
    }
    guarded = new GuardedRead(this, read, listener, untilMillis);
    guarded.begin();
    if (relayed) {
      guarded.sendRead();
    }
    channel.flush();
  }

  /** Sends a rollback after all commands sent so far. */
  void rollBackNext() {
    rollingBack = true;
    send(
        new MemberCommand.RollBack(),
        new CommandListener() {
          @Override
          public void answered(Answer answer) {
            endRollBack();
          }

          @Override
          public void lost(String cause) {
            endRollBack();
          }
        });
  }

  /**
   * Returns whether a rollback has been sent and is unanswered.
   *
   * @return false once it has been answered
   */
  boolean isRollingBack() {
    return rollingBack;
  }

  /** Sets a task that runs when the outstanding rollback is answered or the link has ended. */
  void onRolledBack(Runnable task) {
    rolledBack = task;
  }

  private void endRollBack() {
    rollingBack = false;
    Runnable next = rolledBack;
    rolledBack = () -> {};
    next.run();
  }

  void flush() {
    channel.flush();
  }

  /** Sends a command after those that wait; it waits while the member has no free slot for it. */
  void send(MemberCommand command, CommandListener listener) {
    send(command, listener, UNTIL_SENT);
  }

  void send(MemberCommand command, CommandListener listener, long untilMillis) {
    Waiting added = new Waiting(command, listener);
    waiting.addLast(added);
    sendWhileSlotsFree();
    if (!waiting.isEmpty() && untilMillis != UNTIL_SENT) {
      worker.schedule(Math.max(0, untilMillis - worker.now()), () -> expire(added));
    }
  }

  /** Drops a command that waits for a slot at its deadline; the commands after it are sent. */
  private void expire(Waiting late) {
    if (!waiting.remove(late)) {
      return;
    }
    slots.cancelWait(this);
    slotMillis = NO_SLOT;
    sendWaiting();
    if (state == SessionState.IDLE && !outstanding.isEmpty()) {
      // The link is released at once, and a late answer must not reach the next session.
      close("no slot of the member became free in time");
    }
    late.listener().notSent("no slot of the member became free in time");
  }

  /** Sends the waiting commands for which slots are free; called when a slot becomes free. */
  void sendWaiting() {
    sendWhileSlotsFree();
    flush();
  }

  private void sendWhileSlotsFree() {
    while (!waiting.isEmpty()) {
      Waiting next = waiting.peekFirst();
      MemberSlots.Use slot = null;
      if (!relayed && MemberSlots.needsSlot(next.command())) {
        slot = slots.take(this);
        if (slot == null) {
          return;
        }
      }
      waiting.pollFirst();
      outstanding.add(
          new OutstandingCommands.Sent(next.command(), next.listener(), worker.now(), slot));
      if (channel != null) {
        channel.send(next.command());
      }
    }
  }

  /**
   * Cancels the commands that wait for a slot, without a notification of their listeners.
   *
   * @return false if no command waits, or if a sent command is unanswered
   */
  public boolean cancelWaiting() {
    if (waiting.isEmpty() || !outstanding.isEmpty()) {
      return false;
    }
    waiting.clear();
    slots.cancelWait(this);
    return true;
  }

  /** Returns and resets the time for which commands took slots, or {@link #NO_SLOT}. */
  long takeSlotMillis() {
    long taken = slotMillis;
    slotMillis = 0;
    return taken;
  }

  /**
   * Returns whether the member may have run the newest command. For a guarded read this is the
   * read, not the beginning of its transaction.
   *
   * @return false as long as the command has certainly not reached the member
   */
  public boolean mayHaveRun() {
    boolean handedOver = waiting.isEmpty() && (guarded == null || guarded.isReadSent());
    return handedOver && channel != null && channel.mayHaveRun();
  }

  /** Signals that the answers are no longer needed; the link is still in use until they arrive. */
  public void withdraw() {
    if (isOpen()) {
      channel.withdraw();
    }
  }

  /** Closes the link; unanswered commands are reported as lost or as not sent. */
  public void close() {
    close("closed by this node");
  }

  /** Closes the link; unanswered commands are reported as lost or as not sent. */
  void close(String cause) {
    MemberChannel closing = channel;
    closed(cause);
    if (closing != null) {
      closing.close();
    }
  }

  /** Outcome of a command that prepares the session; a failure makes the link unusable. */
  private final class SessionSetup implements CommandListener {
    @Override
    public void answered(Answer answer) {
      if (!answer.isComplete()) {
        close("preparing the session failed: " + answer.code());
      }
    }

    @Override
    public void lost(String cause) {
      // The listener of the statement that follows is notified of the same cause.
    }
  }

  // ---- channel ----

  @Override
  public void connected(MemberChannel connected) {
    if (ended) {
      connected.close();
      return;
    }
    channel = connected;
    owner.responded(this);
    send(new MemberCommand.Introduce(service, member, tenant), new Introduction());
    channel.flush();
  }

  /** Handles the answer by which the member accepts or refuses the link. */
  private final class Introduction implements CommandListener {
    @Override
    public void answered(Answer answer) {
      if (answer.isComplete()) {
        open = true;
        owner.opened(MemberLink.this);
        return;
      }
      ended = true;
      channel.close();
      owner.ended(MemberLink.this, answer, answer.code() + " " + answer.text());
    }

    @Override
    public void lost(String cause) {
      // closed() notifies the owner.
    }
  }

  @Override
  public void answered(Answer answer) {
    if (ended) {
      return;
    }
    owner.responded(this);
    if (!outstanding.fits(answer)) {
      String cause =
          "the answer "
              + answer.code()
              + " is not that to the oldest command, "
              + outstanding.oldestKind();
      LOG.warn("closes a link to {}/{}: {}", service, member, cause);
      close(cause);
      return;
    }
    OutstandingCommands.Sent command = outstanding.takeAnswered(worker.now());
    state = answer.state();
    if (command.slot() != null) {
      slotMillis += command.slot().tookMillis(worker.now());
    }
    command.listener().answered(answer);
    // Released last: a command that the listener sends queues behind those that wait for a slot.
    if (command.slot() != null) {
      slots.release(command.slot());
    }
  }

  @Override
  public void closed(String cause) {
    if (ended) {
      return;
    }
    ended = true;
    List<OutstandingCommands.Sent> lost = outstanding.takeAll();
    List<Waiting> unsent = List.copyOf(waiting);
    waiting.clear();
    slots.cancelWait(this);
    lost.stream().filter(each -> each.slot() != null).forEach(each -> slots.lost(each.slot()));
    owner.ended(this, null, cause);
    lost.forEach(each -> each.listener().lost(cause));
    unsent.forEach(each -> each.listener().notSent(cause));
  }
}
