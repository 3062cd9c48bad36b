package org.streamcourse.connection.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongConsumer;
import org.streamcourse.connection.member.LinkRequest;
import org.streamcourse.connection.member.MemberChannel;
import org.streamcourse.connection.member.MemberCommand;
import org.streamcourse.connection.member.MemberRelay;
import org.streamcourse.request.statement.Answer;
import org.streamcourse.request.statement.PreparedShape;
import org.streamcourse.request.statement.SessionState;

/**
 * Channel for one unit of work that is relayed to a member through a holder. Session values and
 * prepared statements are kept here and sent along with the steps that need them.
 *
 * <p>Invariant: the work goes to another holder only after the previous one has reported that the
 * member has run nothing, or was certainly not reached.
 */
final class RelayChannel implements MemberChannel {
  /** Time for which no work is relayed to a member after no holder could reach it. */
  private static final long UNREACHABLE_BACKOFF_MILLIS = 300;

  /**
   * Time for which no work is relayed to a member after its holders answered that they hold no
   * connections: their images are slightly outdated, or they have just started.
   */
  private static final long NOT_HELD_BACKOFF_MILLIS = 50;

  private final RelayClient client;
  private final MemberRelay.Target target;
  private final List<String> holders;
  private final LinkRequest request;
  private final Listener listener;
  private final LongConsumer backOff;
  private final boolean fallback;
  private final Map<String, String> values = new TreeMap<>();
  private final Map<String, PreparedShape> prepared = new HashMap<>();
  private final List<RelayMessage.Step> unsent = new ArrayList<>();
  private RelayMessage.Open open;
  private int holderIndex;
  private long stream;
  private boolean valuesChanged;
  private boolean sent;
  private boolean answeredOnce;
  private boolean ended;
  private boolean finishing;
  private int unanswered;
  private long openedMillis;
  private long sentMillis;
  private SessionState state = SessionState.IDLE;

  RelayChannel(
      RelayClient client,
      MemberRelay.Target target,
      List<String> holders,
      LinkRequest request,
      Listener listener,
      LongConsumer backOff,
      boolean fallback) {
    this.client = client;
    this.target = target;
    this.holders = holders;
    this.request = request;
    this.listener = listener;
    this.backOff = backOff;
    this.fallback = fallback;
  }

  // ---- outgoing ----

  @Override
  public void send(MemberCommand command) {
    if (command instanceof MemberCommand.SetSessionValue set) {
      values.put(set.name(), set.value());
      answerLocally();
    } else if (command instanceof MemberCommand.ResetSession) {
      values.clear();
      prepared.clear();
      answerLocally();
    } else if (command instanceof MemberCommand.PrepareStatement prepare) {
      prepared.put(prepare.name(), prepare.shape());
      answerLocally();
    } else if (command instanceof MemberCommand.RunPrepared run) {
      unsent.add(
          new RelayMessage.ExecuteShape(
              run.id(), prepared.get(run.name()), run.arguments(), run.floor()));
    } else if (command instanceof MemberCommand.RollBack) {
      unsent.add(new RelayMessage.Finish());
      finishing = true;
    } else {
      unsent.add(new RelayMessage.Direct(command));
    }
  }

  /** Answers a command here: the holder keeps no session, so nothing has to be changed there. */
  private void answerLocally() {
    valuesChanged = true;
    listener.answered(Answer.local(state));
  }

  @Override
  public void flush() {
    if (ended || unsent.isEmpty()) {
      return;
    }
    List<RelayMessage.Step> steps = new ArrayList<>(unsent);
    unsent.clear();
    unanswered += finishing ? steps.size() - 1 : steps.size();
    sentMillis = client.now();
    if (open == null) {
      openedMillis = sentMillis;
      open =
          new RelayMessage.Open(
              0,
              target.service(),
              target.member(),
              request.tenant(),
              request.takesAnyTenant(),
              request.priority(),
              request.needsPrimary(),
              request.maxWaitMillis(),
              new TreeMap<>(values),
              steps,
              fallback,
              null);
      sendOpen();
    } else {
      TreeMap<String, String> changed = valuesChanged ? new TreeMap<>(values) : null;
      client.send(holder(), new RelayMessage.Continue(stream, changed, steps));
    }
    valuesChanged = false;
  }

  private String holder() {
    return holders.get(holderIndex);
  }

  /** Sends the work to the holder, at once if the holder has responded on its present peer link. */
  private void sendOpen() {
    sent = false;
    stream = client.register(holder(), this);
    if (client.isEstablished(holder())) {
      holderResponded();
    }
  }

  /** Sends the work, if it wasn't sent yet, once the holder has responded. */
  void holderResponded() {
    if (sent || ended) {
      return;
    }
    sent = true;
    client.send(
        holder(),
        new RelayMessage.Open(
            stream,
            open.service(),
            open.member(),
            open.tenant(),
            open.anyTenant(),
            open.priority(),
            open.needsPrimary(),
            remainingWaitMillis(),
            open.values(),
            open.steps(),
            open.standIn(),
            request.floor()));
  }

  @Override
  public boolean mayHaveRun() {
    return sent;
  }

  /** Returns the rest of the longest wait, which is shared by all holders tried in turn. */
  private long remainingWaitMillis() {
    return open.maxWaitMillis() - (client.now() - openedMillis);
  }

  @Override
  public void close() {
    if (ended) {
      return;
    }
    ended = true;
    if (open != null) {
      client.removeStream(holder(), stream);
    }
    if (sent) {
      client.send(holder(), new RelayMessage.Close(stream));
    }
  }

  @Override
  public void withdraw() {
    if (sent && !ended && !answeredOnce) {
      client.send(holder(), new RelayMessage.Withdraw(stream));
    }
  }

  /** Returns when the oldest unanswered step was sent, or {@link Long#MAX_VALUE}. */
  long unansweredSinceMillis() {
    return unanswered > 0 ? sentMillis : Long.MAX_VALUE;
  }

  // ---- incoming ----

  void answered(RelayMessage.Answered message) {
    answeredOnce = true;
    request.onObservation(message.observation());
    for (Answer answer : message.answers()) {
      unanswered--;
      state = answer.state();
      endIfOver(answer);
      listener.answered(answer);
    }
    if (finishing && unanswered == 0) {
      // The holder doesn't answer the rollback, but the unit of work is complete.
      listener.answered(Answer.local(SessionState.IDLE));
    }
  }

  /** Ends the stream after its last answer, or after a failure: later steps aren't run then. */
  private void endIfOver(Answer answer) {
    boolean idle = state == SessionState.IDLE && (unanswered == 0 || !answer.isComplete());
    boolean finished = finishing && (unanswered == 0 || !answer.isComplete());
    if (idle || finished) {
      ended = true;
      client.removeStream(holder(), stream);
    }
  }

  void refused(RelayMessage.Refused refused) {
    if (refused.observation() != null) {
      request.onObservation(refused.observation());
    }
    // The owner assigns all slots of the member, so the other holders have no capacity either.
    boolean isFinal = target.owned() && refused.refusal() == RelayMessage.Refusal.BUSY;
    if (refused.refusal() == RelayMessage.Refusal.BEHIND) {
      // The member is behind for all holders.
      ended = true;
      request.behind(refused.cause(), refused.retryAfterMillis());
    } else if (isFinal || !tryNextHolder(refused.cause())) {
      notRun(backOffMillis(refused.refusal()), refused.cause(), refused.retryAfterMillis());
    }
  }

  private static long backOffMillis(RelayMessage.Refusal refusal) {
    return switch (refusal) {
      case BUSY, BEHIND -> 0;
      case MEMBER_UNUSABLE -> UNREACHABLE_BACKOFF_MILLIS;
      case NOT_HELD -> NOT_HELD_BACKOFF_MILLIS;
    };
  }

  /** Handles that the holder was not reached: tries the next one, or refuses the request. */
  void notDelivered(String cause) {
    if (answeredOnce) {
      lost(cause);
    } else if (!tryNextHolder(cause)) {
      notRun(UNREACHABLE_BACKOFF_MILLIS, cause, 0);
    }
  }

  private boolean tryNextHolder(String cause) {
    boolean another =
        !answeredOnce && holderIndex + 1 < holders.size() && remainingWaitMillis() > 0;
    request.holderListener().notRun(holder(), stream, sent, cause, another);
    if (!another) {
      return false;
    }
    holderIndex++;
    sentMillis = client.now();
    sendOpen();
    return true;
  }

  private void notRun(long backOffMillis, String cause, long retryAfterMillis) {
    ended = true;
    if (backOffMillis > 0) {
      backOff.accept(backOffMillis);
    }
    request.refused(cause, retryAfterMillis);
  }

  void lost(String cause) {
    if (!ended && open != null && !sent) {
      notDelivered(cause);
    } else if (!ended) {
      ended = true;
      if (open != null) {
        request.holderListener().lost(holder(), stream, cause);
      }
      listener.closed(cause);
    }
  }
}
