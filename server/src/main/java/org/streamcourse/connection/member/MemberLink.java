package org.streamcourse.connection.member;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.streamcourse.process.Worker;
import org.streamcourse.request.statement.Answer;
import org.streamcourse.request.statement.PreparedShape;
import org.streamcourse.request.statement.SessionState;
import org.streamcourse.version.image.MemberId;
import org.streamcourse.version.image.TenantId;

/**
 * One connection to a member, used by one session at a time. It knows which session values and
 * prepared names stand on it, and brings them in line with a session before a statement is run.
 *
 * <p>Invariants: commands are answered in the order in which they were sent; a link with an answer
 * outstanding is never handed to another session; it carries statements of one tenant only.
 *
 * <p>All methods run on the proxy's worker.
 */
public final class MemberLink implements MemberChannel.Listener {
  private static final int MAX_PREPARED = 256;
  private static final String PREPARED_PREFIX = "p";

  /** A command waits for a slot until it gets one or the link ends. */
  private static final long UNTIL_SENT = Long.MAX_VALUE;

  /** Slot time of a use whose command got none, which tells nothing of the work. */
  static final long NO_SLOT = -1;

  /** Hears what concerns the whole link. */
  interface Owner {
    /** The member has accepted the link. */
    void opened(MemberLink link);

    /** The member spoke, or its machine accepted the network connection. */
    void heard(MemberLink link);

    /** The link has ended; {@code refusal} is the member's answer when it refused the link. */
    void ended(MemberLink link, Answer refusal, String cause);
  }

  /** A command that was sent; {@code slot} is null when it takes none of the member's slots. */
  private record Outstanding(CommandListener listener, long sentMillis, MemberSlots.Use slot) {}

  /** A command that waits for one of the member's slots, or behind one that does. */
  private record Waiting(MemberCommand command, CommandListener listener) {}

  private final Worker worker;
  private final String service;
  private final MemberId member;
  private final TenantId tenant;
  private final Owner owner;
  private final MemberSlots slots;
  private final Deque<Outstanding> outstanding = new ArrayDeque<>();
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

  /** The read that was begun last, or null when a command followed it. */
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

  /** Whose statements it carries, from its first command to its end. */
  TenantId tenant() {
    return tenant;
  }

  /**
   * Returns the member's state of the session.
   *
   * @return state told with the newest answer
   */
  public SessionState state() {
    return state;
  }

  /**
   * Tells whether commands can be sent.
   *
   * @return true from the member's acceptance to the end of the connection
   */
  public boolean isOpen() {
    return open && !ended;
  }

  /** Whether the connection has come about; it may wait for a slot before it is open. */
  boolean isConnected() {
    return channel != null;
  }

  /**
   * Tells whether the member is reached through another node; such a link serves one statement or
   * transaction.
   *
   * @return false for a connection of this node
   */
  public boolean isRelayed() {
    return relayed;
  }

  /** Uses a way through another node, which is open at once. */
  void openThrough(MemberChannel relay) {
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

  /** Time at which the oldest unanswered command was sent, or {@link Long#MAX_VALUE}. */
  long oldestUnansweredMillis() {
    return outstanding.isEmpty() ? Long.MAX_VALUE : outstanding.peekFirst().sentMillis();
  }

  /** The same of several links. */
  static long oldestUnansweredMillis(Iterable<MemberLink> links) {
    long oldest = Long.MAX_VALUE;
    for (MemberLink link : links) {
      oldest = Math.min(oldest, link.oldestUnansweredMillis());
    }
    return oldest;
  }

  // ---- use by a session ----

  /**
   * Brings the session values on the member in line with a session's. Whatever is wrong with that
   * closes the link before the session's statement is answered.
   *
   * @param wanted values of the session
   */
  public void adopt(Map<String, String> wanted) {
    if (!wanted.keySet().containsAll(values.keySet()) || prepared.size() > MAX_PREPARED) {
      send(new MemberCommand.ResetSession(), new OwnCommand());
      values.clear();
      prepared.clear();
    }
    wanted.forEach(
        (name, value) -> {
          if (!value.equals(values.put(name, value))) {
            send(new MemberCommand.SetSessionValue(name, value), new OwnCommand());
          }
        });
  }

  /**
   * Returns the name under which a shape is prepared here, preparing it when it is not.
   *
   * @param shape what is to be executed
   * @return name on this link
   */
  public String prepare(PreparedShape shape) {
    String known = prepared.get(shape);
    if (known != null) {
      return known;
    }
    String name = PREPARED_PREFIX + prepared.size();
    prepared.put(shape, name);
    send(new MemberCommand.PrepareStatement(name, shape), new OwnCommand());
    return name;
  }

  /**
   * Sends a command after those that prepare for it.
   *
   * @param command what to send
   * @param listener hears its end, once
   */
  public void run(MemberCommand command, CommandListener listener) {
    run(command, listener, UNTIL_SENT);
  }

  /**
   * Sends a command after those that prepare for it, unless the member has no slot for it in time.
   *
   * @param command what to send
   * @param listener hears its end, once
   * @param untilMillis time until which it may wait for a slot; the link can be used on after that
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
   * Runs a read in a transaction that only a primary begins, and that is rolled back right after
   * it. Through another node all of it is one message each way.
   *
   * @param read what to send within the transaction
   * @param listener hears the answer to the read, or to the beginning when that failed
   * @param untilMillis time until which the read may wait for a slot
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

  /** Sends a rollback behind what was sent so far. */
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
   * Tells whether a rollback is under way that was sent together with a statement.
   *
   * @return false once it has been answered
   */
  boolean isRollingBack() {
    return rollingBack;
  }

  /** Sets what runs when the rollback under way has been answered, or the link has ended. */
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

  /** Sends a command behind the others; it waits while the member has no slot for it. */
  void send(MemberCommand command, CommandListener listener) {
    send(command, listener, UNTIL_SENT);
  }

  void send(MemberCommand command, CommandListener listener, long untilMillis) {
    Waiting added = new Waiting(command, listener);
    waiting.addLast(added);
    sendUntilOneWaits();
    if (!waiting.isEmpty() && untilMillis != UNTIL_SENT) {
      worker.schedule(Math.max(0, untilMillis - worker.now()), () -> endWait(added));
    }
  }

  /** Leaves a command out that still waits for a slot; what was sent behind it goes on. */
  private void endWait(Waiting late) {
    if (!waiting.remove(late)) {
      return;
    }
    slots.forget(this);
    slotMillis = NO_SLOT;
    sendWaiting();
    if (state == SessionState.IDLE && !outstanding.isEmpty()) {
      // It is given back at once, and an answer that comes later is not the next session's.
      close("no slot of the member became free in time");
    }
    late.listener().notSent("no slot of the member became free in time");
  }

  /** A slot is free for the first command that waits. */
  void sendWaiting() {
    sendUntilOneWaits();
    flush();
  }

  private void sendUntilOneWaits() {
    while (!waiting.isEmpty()) {
      Waiting next = waiting.peekFirst();
      MemberSlots.Use slot = null;
      if (!relayed && MemberSlots.isTakenBy(next.command())) {
        slot = slots.take(this);
        if (slot == null) {
          return;
        }
      }
      waiting.pollFirst();
      outstanding.addLast(new Outstanding(next.listener(), worker.now(), slot));
      if (channel != null) {
        channel.send(next.command());
      }
    }
  }

  /**
   * Takes back a command that waits for a slot, which its listener does not hear.
   *
   * @return false when the member may have been asked something, so that the link can't go on
   */
  public boolean takeBack() {
    if (waiting.isEmpty() || !outstanding.isEmpty()) {
      return false;
    }
    waiting.clear();
    slots.forget(this);
    return true;
  }

  /** Time for which its commands took slots since this was last asked, or {@link #NO_SLOT}. */
  long takeSlotMillis() {
    long taken = slotMillis;
    slotMillis = 0;
    return taken;
  }

  /**
   * Tells whether the member may have run what was sent last; the beginning of a guarded read is
   * not the read.
   *
   * @return false while it has certainly not arrived there
   */
  public boolean mayHaveRun() {
    boolean handedOver = waiting.isEmpty() && (guarded == null || guarded.isReadSent());
    return handedOver && channel != null && channel.mayHaveRun();
  }

  /** Tells that nobody waits for the answers any more; they still have to be heard. */
  public void withdraw() {
    if (isOpen()) {
      channel.withdraw();
    }
  }

  /** Closes the link; commands without an answer are lost, or were not sent. */
  public void close() {
    close("closed by this node");
  }

  private void close(String cause) {
    MemberChannel closing = channel;
    closed(cause);
    if (closing != null) {
      closing.close();
    }
  }

  /** A command of the product's own; a failure makes the link unusable. */
  private final class OwnCommand implements CommandListener {
    @Override
    public void answered(Answer answer) {
      if (!answer.isComplete()) {
        close("preparing the session failed: " + answer.code());
      }
    }

    @Override
    public void lost(String cause) {
      // The statement that follows hears the same.
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
    owner.heard(this);
    send(new MemberCommand.Introduce(service, member, tenant), new Introduction());
    channel.flush();
  }

  /** Hears whether the member accepts the link. */
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
      // The end of the link is told to its owner.
    }
  }

  @Override
  public void answered(Answer answer) {
    if (ended) {
      return;
    }
    owner.heard(this);
    Outstanding command = outstanding.pollFirst();
    if (command == null) {
      close("the member spoke without being asked");
      return;
    }
    state = answer.state();
    if (command.slot() != null) {
      slotMillis += command.slot().tookMillis(worker.now());
    }
    command.listener().answered(answer);
    // After the listener: what follows at once on this link waits behind what waited before.
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
    List<Outstanding> lost = List.copyOf(outstanding);
    List<Waiting> unsent = List.copyOf(waiting);
    outstanding.clear();
    waiting.clear();
    slots.forget(this);
    lost.stream().filter(each -> each.slot() != null).forEach(each -> slots.lost(each.slot()));
    owner.ended(this, null, cause);
    lost.forEach(each -> each.listener().lost(cause));
    unsent.forEach(each -> each.listener().notSent(cause));
  }
}
