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
 * One unit of work on its way to a member through a holder. Session values and prepared names are
 * kept here and go along with the steps that need them.
 *
 * <p>Invariant: it is brought to another holder only when the one before said that the member was
 * asked nothing, or was certainly not reached.
 */
final class RelayChannel implements MemberChannel {
  /** Time until it is asked again for a member that no holder reached. */
  private static final long UNREACHED_REST_MILLIS = 300;

  /**
   * Time until holders are asked again that do not know that they are; their images are those of a
   * moment ago, or they have just started.
   */
  private static final long NOT_HELD_REST_MILLIS = 50;

  private final RelayClient client;
  private final MemberRelay.Target target;
  private final List<String> holders;
  private final LinkRequest request;
  private final Listener listener;
  private final LongConsumer backOff;
  private final boolean standIn;
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
      boolean standIn) {
    this.client = client;
    this.target = target;
    this.holders = holders;
    this.request = request;
    this.listener = listener;
    this.backOff = backOff;
    this.standIn = standIn;
  }

  // ---- what is sent ----

  @Override
  public void send(MemberCommand command) {
    if (command instanceof MemberCommand.SetSessionValue set) {
      values.put(set.name(), set.value());
      answerHere();
    } else if (command instanceof MemberCommand.ResetSession) {
      values.clear();
      prepared.clear();
      answerHere();
    } else if (command instanceof MemberCommand.PrepareStatement prepare) {
      prepared.put(prepare.name(), prepare.shape());
      answerHere();
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

  /** Nothing of the session stands at the holder, so nothing there has to be changed. */
  private void answerHere() {
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
              standIn,
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

  /** Brings the work to the holder, at once if the holder has spoken before. */
  private void sendOpen() {
    sent = false;
    stream = client.begin(holder(), this);
    if (client.isEstablished(holder())) {
      holderSpoke();
    }
  }

  /** The holder is there. */
  void holderSpoke() {
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

  /** All holders that are asked one after the other share the longest wait. */
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
      client.forget(holder(), stream);
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

  /** Time at which the oldest step without an answer was sent, or {@link Long#MAX_VALUE}. */
  long unansweredSinceMillis() {
    return unanswered > 0 ? sentMillis : Long.MAX_VALUE;
  }

  // ---- what comes back ----

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
      // The rollback is not answered, but nothing of the unit of work is left.
      listener.answered(Answer.local(SessionState.IDLE));
    }
  }

  /** After a failure the steps behind it are not run, so the stream is over as well. */
  private void endIfOver(Answer answer) {
    boolean idle = state == SessionState.IDLE && (unanswered == 0 || !answer.isComplete());
    boolean finished = finishing && (unanswered == 0 || !answer.isComplete());
    if (idle || finished) {
      ended = true;
      client.forget(holder(), stream);
    }
  }

  void refused(RelayMessage.Refused refused) {
    if (refused.observation() != null) {
      request.onObservation(refused.observation());
    }
    // The owner of a member's slots has refused for all holders.
    boolean isFinal = target.owned() && refused.refusal() == RelayMessage.Refusal.BUSY;
    if (refused.refusal() == RelayMessage.Refusal.BEHIND) {
      // The other holders' member is the same.
      ended = true;
      request.behind(refused.cause(), refused.retryAfterMillis());
    } else if (isFinal || !asksNext(refused.cause())) {
      notRun(restMillis(refused.refusal()), refused.cause(), refused.retryAfterMillis());
    }
  }

  private static long restMillis(RelayMessage.Refusal refusal) {
    return switch (refusal) {
      case BUSY, BEHIND -> 0;
      case MEMBER_UNUSABLE -> UNREACHED_REST_MILLIS;
      case NOT_HELD -> NOT_HELD_REST_MILLIS;
    };
  }

  /** The holder was not reached. */
  void notDelivered(String cause) {
    if (answeredOnce) {
      lost(cause);
    } else if (!asksNext(cause)) {
      notRun(UNREACHED_REST_MILLIS, cause, 0);
    }
  }

  private boolean asksNext(String cause) {
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

  private void notRun(long restMillis, String cause, long retryAfterMillis) {
    ended = true;
    if (restMillis > 0) {
      backOff.accept(restMillis);
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
