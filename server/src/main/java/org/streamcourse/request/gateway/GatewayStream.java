package org.streamcourse.request.gateway;

import java.util.List;
import java.util.Optional;
import org.streamcourse.connection.backend.MemberPool;
import org.streamcourse.connection.backend.MemberStatements;
import org.streamcourse.connection.backend.PoolEntry;
import org.streamcourse.connection.peer.PeerNetwork;
import org.streamcourse.connection.wire.Backend;
import org.streamcourse.connection.wire.Frontend;
import org.streamcourse.connection.wire.WireMessage;
import org.streamcourse.process.Worker;
import org.streamcourse.request.StreamMessage.NextUnit;
import org.streamcourse.request.StreamMessage.OpenStream;
import org.streamcourse.request.StreamMessage.Purpose;
import org.streamcourse.request.StreamMessage.Refusal;
import org.streamcourse.request.StreamMessage.Unit;
import org.streamcourse.version.image.TermPosition;

/**
 * Runs one stream's units on one member connection.
 *
 * <p>Invariants: the connection belongs to this stream from its grant until it is returned to the
 * pool or closed. It is returned only when it is idle, has no unread answer and was reset after any
 * unit that leaves state behind. Once a byte of a unit has been sent to the member, the stream
 * replies with the unit's outcome or with {@code Broken}; {@code Refused} is sent only before that,
 * or when the member itself refused the unit's first statement. Only the member's ReadyForQuery
 * ends a unit, so a truncated answer is never reported as complete.
 *
 * <p>All methods run on the gateway's worker.
 */
final class GatewayStream
    implements MemberGateway.Admission, MemberPool.Waiter, AnswerListener.Receiver {
  private static final int HELD_LIMIT_BYTES = 16 * 1024 * 1024;

  private final String peer;
  private final OpenStream request;
  private final MemberGateway gateway;
  private final StreamReplies replies;
  private final Runnable onClosed;
  private final AnswerBuffer answer = new AnswerBuffer();
  private StreamState state = StreamState.ADMITTING;
  private final StreamGrant grant;
  private Unit unit;
  private NamedRequest namedRequest;
  private boolean firstUnit = true;
  private boolean refusedByMember;
  private boolean changedSession;
  private boolean abandoned;
  private boolean countedAsWrite;
  private char transactionStatus = Backend.STATUS_IDLE;
  private TermPosition committedAt;

  GatewayStream(
      String peer,
      OpenStream request,
      MemberGateway gateway,
      PeerNetwork network,
      Runnable onClosed) {
    this.peer = peer;
    this.request = request;
    this.gateway = gateway;
    this.grant = new StreamGrant(gateway.pool(), gateway.worker());
    int window = gateway.settings().windowBytes();
    this.replies = new StreamReplies(network, peer, request.streamId(), window);
    this.onClosed = onClosed;
    this.unit = request.unit();
  }

  String peer() {
    return peer;
  }

  long id() {
    return request.streamId();
  }

  Worker worker() {
    return gateway.worker();
  }

  // ---- starting ----

  void start() {
    gateway.admit(request, this);
  }

  @Override
  public void refused(Refusal refusal) {
    refuse(refusal, 0);
  }

  @Override
  public void admitted() {
    if (abandoned) {
      close();
      return;
    }
    if (request.purpose() == Purpose.WRITE) {
      countedAsWrite = true;
      gateway.writeOpened();
    }
    gateway.pool().acquire(request.user(), request.budgetMillis(), this);
  }

  /** Called by the pool on any thread. */
  @Override
  public void granted(PoolEntry grantedEntry) {
    worker().execute(() -> onGranted(grantedEntry));
  }

  @Override
  public void refused(long retryAfterMillis) {
    worker().execute(() -> onPoolRefused(retryAfterMillis));
  }

  private void onPoolRefused(long retryAfterMillis) {
    if (state == StreamState.CLOSED) {
      return;
    }
    if (grant.entry() == null) {
      refuse(gateway.recheck(request).orElse(Refusal.OVERLOADED), retryAfterMillis);
    } else {
      breakOff("slot", "no slot was free in time; the transaction is rolled back");
    }
  }

  private void onGranted(PoolEntry grantedEntry) {
    if (state == StreamState.CLOSED) {
      // The transaction was lost while its next unit waited for a slot.
      grant.decline(grantedEntry);
      return;
    }
    grant.granted(grantedEntry);
    if (grantedEntry != null) {
      grantedEntry.session().listen(new AnswerListener(grantedEntry, gateway.worker(), this));
    }
    if (abandoned) {
      end(transactionStatus == Backend.STATUS_IDLE);
      return;
    }
    if (firstUnit) {
      Optional<Refusal> refusal = gateway.recheck(request);
      if (refusal.isPresent()) {
        grant.release();
        refuse(refusal.get(), 0);
        return;
      }
    }
    if (firstUnit && !grant.entry().settings().equals(request.settings())) {
      prepare();
    } else {
      begin();
    }
  }

  private void prepare() {
    state = StreamState.PREPARING;
    StringBuilder statements = new StringBuilder("RESET ALL");
    request.settings().forEach(each -> statements.append("; ").append(each));
    grant.session().send(Frontend.query(statements.toString()));
  }

  private void begin() {
    if (unit.requestKey().isEmpty()) {
      run();
      return;
    }
    state = StreamState.NAMING;
    namedRequest = new NamedRequest(unit.requestKey(), gateway, replies, new NamedSteps());
    namedRequest.claim(grant.session());
  }

  private void run() {
    state = StreamState.RUNNING;
    answer.start(unit.mayCommit());
    refusedByMember = false;
    committedAt = null;
    changedSession |= unit.changesSession();
    grant.session().send(unit.messages());
  }

  // ---- further messages of the edge ----

  void next(NextUnit message) {
    if (state != StreamState.OPEN && !(state == StreamState.RUNNING && !unit.endsWithReady())) {
      breakOff("next-unit", "the stream is not waiting for a unit");
      return;
    }
    firstUnit = false;
    unit = message.unit();
    if (state == StreamState.RUNNING) {
      changedSession |= unit.changesSession();
      grant.session().send(unit.messages());
    } else {
      gateway.pool().acquireSlot(message.budgetMillis(), this);
    }
  }

  void credit(int bytes) {
    replies.credit(bytes);
    if (!replies.isWindowFull()) {
      grant.resumeReading();
    }
  }

  void cancel() {
    if (state == StreamState.RUNNING) {
      grant.session().cancel();
    }
  }

  /** Ends the stream on behalf of its edge; an open transaction is rolled back. */
  void abandon() {
    abandoned = true;
    replies.suppressFailures();
    if (state == StreamState.OPEN) {
      end(transactionStatus == Backend.STATUS_IDLE);
    } else if (state.isMemberWorking()) {
      discard();
    }
  }

  /** Ends the stream when the node may no longer use its connections; its work is rolled back. */
  void allowanceLapsed() {
    if (grant.entry() != null && state != StreamState.RESETTING) {
      breakOff(
          "allowance", "the node lost contact with the controllers and closes its connections");
    }
  }

  // ---- answers of the member ----

  @Override
  public boolean holds(PoolEntry entry) {
    return grant.entry() == entry && state != StreamState.CLOSED;
  }

  @Override
  public void onMemberMessage(WireMessage message) {
    switch (state) {
      case PREPARING -> onPreparing(message);
      case NAMING -> onNaming(message);
      case RUNNING -> onRunning(message);
      case RESETTING -> onResetting(message);
      default -> {
        // Parameter reports and notices that arrive while no unit runs are not for a caller.
      }
    }
  }

  private void onPreparing(WireMessage message) {
    if (message.type() == Backend.ERROR) {
      answer.start(false);
      answer.add(message);
    } else if (message.type() == Backend.READY) {
      if (answer.isEmpty()) {
        grant.entry().settingsApplied(request.settings());
        begin();
      } else {
        changedSession = true;
        finishUnit(Backend.STATUS_IDLE);
      }
    }
  }

  private void onNaming(WireMessage message) {
    if (message.type() == Backend.PARAMETER_STATUS) {
      onParameter(message);
    } else {
      namedRequest.onMessage(message);
    }
  }

  /** Continues the stream after each step of a named request. */
  private final class NamedSteps implements NamedRequest.Listener {
    @Override
    public void claimed() {
      run();
    }

    @Override
    public void committed() {
      transactionStatus = Backend.STATUS_IDLE;
      grant.releaseSlot();
      acknowledge(Backend.STATUS_IDLE);
    }

    @Override
    public void rolledBack() {
      state = StreamState.ACKNOWLEDGING;
      grant.discard();
    }

    @Override
    public void notPrimary() {
      refuse(Refusal.NOT_PRIMARY, 0);
    }

    @Override
    public void answered() {
      close();
    }
  }

  private void onRunning(WireMessage message) {
    switch (message.type()) {
      case Backend.PARAMETER_STATUS -> onParameter(message);
      case Backend.READY -> onReady((char) message.body().int8());
      default -> {
        if (isRefusal(message)) {
          refusedByMember = true;
        }
        answer.add(message);
        if (answer.heldBytes() > HELD_LIMIT_BYTES) {
          breakOff("hold-answer", "the answers of one unit exceed the limit for held answers");
        }
      }
    }
  }

  private boolean isRefusal(WireMessage message) {
    return message.type() == Backend.ERROR
        && firstUnit
        && answer.isOnlyPreamble()
        && request.purpose() == Purpose.WRITE
        && Backend.sqlState(message).equals(MemberStatements.READ_ONLY);
  }

  private void onParameter(WireMessage message) {
    WireMessage.Reader body = message.body();
    if (body.text().equals(MemberStatements.COMMIT_POSITION)) {
      committedAt = TermPosition.parse(body.text());
    } else {
      answer.add(message);
    }
  }

  private void onReady(char status) {
    transactionStatus = status;
    if (namedRequest != null) {
      onNamedUnitEnded(status);
      return;
    }
    grant.releaseSlot();
    if (refusedByMember && status == Backend.STATUS_IDLE) {
      grant.release();
      refuse(Refusal.NOT_PRIMARY, 0);
      return;
    }
    acknowledge(status);
  }

  private void onNamedUnitEnded(char status) {
    if (status == Backend.STATUS_IN_TRANSACTION) {
      state = StreamState.NAMING;
      namedRequest.commit(grant.session());
      return;
    }
    grant.discard();
    if (refusedByMember) {
      refuse(Refusal.NOT_PRIMARY, 0);
      return;
    }
    sendOutput(answer.takeAll());
    replies.done(Backend.STATUS_IDLE, gateway.status().applied(), false, false);
    close();
  }

  private void acknowledge(char status) {
    if (committedAt == null) {
      finishUnit(status);
      return;
    }
    state = StreamState.ACKNOWLEDGING;
    gateway
        .acknowledger()
        .await(
            committedAt,
            received -> {
              if (received) {
                finishUnit(status);
              } else {
                replies.broken(
                    "acknowledge",
                    "commit " + committedAt + " was not confirmed at a majority in time");
                end(status == Backend.STATUS_IDLE && !changedSession);
              }
            });
  }

  private void finishUnit(char status) {
    boolean staysOpen = status != Backend.STATUS_IDLE && !abandoned;
    sendOutput(answer.takeAll());
    TermPosition position = committedAt == null ? gateway.status().applied() : committedAt;
    replies.done(status, position, committedAt != null, staysOpen);
    if (staysOpen) {
      state = StreamState.OPEN;
    } else if (status != Backend.STATUS_IDLE) {
      discard();
    } else if (changedSession) {
      reset();
    } else {
      grant.release();
      close();
    }
  }

  private void reset() {
    state = StreamState.RESETTING;
    answer.start(false);
    countWriteClosed();
    grant.session().send(Frontend.query(MemberStatements.RESET));
  }

  private void onResetting(WireMessage message) {
    if (message.type() == Backend.ERROR) {
      discard();
    } else if (message.type() == Backend.READY) {
      grant.entry().settingsApplied(List.of());
      grant.release();
      close();
    }
  }

  @Override
  public void onMemberClosed(String cause) {
    if (state == StreamState.ACKNOWLEDGING) {
      // The member's answer to the commit is complete; only the connection is lost.
      grant.discard();
      return;
    }
    if (state != StreamState.RESETTING) {
      replies.broken("member", cause);
    }
    discard();
  }

  // ---- sending ----

  @Override
  public void onMemberReadComplete() {
    if (state == StreamState.RUNNING) {
      sendOutput(answer.takeReleased(unit.endsWithReady()));
    }
  }

  private void sendOutput(byte[] messages) {
    if (messages.length > 0) {
      replies.output(messages);
    }
    if (replies.isWindowFull() && state == StreamState.RUNNING) {
      grant.pauseReading();
    }
  }

  private void refuse(Refusal refusal, long retryAfterMillis) {
    replies.refused(refusal, gateway.status().applied(), retryAfterMillis);
    close();
  }

  // ---- ending ----

  /** Returns a clean connection to the pool, and closes any other. */
  private void end(boolean clean) {
    if (clean) {
      grant.release();
      close();
    } else {
      discard();
    }
  }

  private void breakOff(String step, String detail) {
    replies.broken(step, detail);
    discard();
  }

  /** Closes the connection, so that the member stops and rolls back what runs on it. */
  private void discard() {
    grant.discard();
    close();
  }

  private void close() {
    if (state != StreamState.CLOSED) {
      state = StreamState.CLOSED;
      grant.releaseSlot();
      countWriteClosed();
      onClosed.run();
    }
  }

  private void countWriteClosed() {
    if (countedAsWrite) {
      countedAsWrite = false;
      gateway.writeClosed();
    }
  }
}
