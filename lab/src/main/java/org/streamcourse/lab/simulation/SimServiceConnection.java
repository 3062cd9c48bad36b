package org.streamcourse.lab.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.streamcourse.connection.member.MemberChannel;
import org.streamcourse.connection.member.MemberCommand;
import org.streamcourse.request.statement.Answer;
import org.streamcourse.request.statement.AnswerCode;
import org.streamcourse.request.statement.PreparedShape;
import org.streamcourse.request.statement.SessionState;
import org.streamcourse.version.image.TenantId;
import org.streamcourse.version.image.TermPosition;

/** A simulated connection between a proxy and a member, with the session at the member's end. */
final class SimServiceConnection implements MemberChannel {
  private static final long COMMIT_MILLIS = 2;

  private final ServiceWorld world;
  private final SimHost proxy;
  private final int proxyIncarnation;
  private final SimServiceMember member;
  private final int memberIncarnation;
  private final Listener listener;
  private final Deque<MemberCommand> commands = new ArrayDeque<>();
  private final Map<String, String> values = new HashMap<>();
  private final Map<String, PreparedShape> prepared = new HashMap<>();
  private final List<String> writes = new ArrayList<>();
  private TenantId tenant = TenantId.NONE;
  private SessionState state = SessionState.IDLE;
  private boolean readOnly;
  private String transactionOwner = "";
  private boolean working;
  private boolean ended;
  private boolean silent;

  SimServiceConnection(
      ServiceWorld world, SimHost proxy, SimServiceMember member, Listener listener) {
    this.world = world;
    this.proxy = proxy;
    this.proxyIncarnation = proxy.incarnation();
    this.member = member;
    this.memberIncarnation = member.host().incarnation();
    this.listener = listener;
  }

  // ---- the proxy's end ----

  @Override
  public void send(MemberCommand command) {
    world
        .network()
        .deliver(
            proxy.name(),
            member.host().name(),
            () -> member.host().execute(memberIncarnation, () -> receive(command)));
  }

  @Override
  public void flush() {
    // send() transmits each command at once.
  }

  @Override
  public void close() {
    world
        .network()
        .deliver(
            proxy.name(),
            member.host().name(),
            () -> member.host().execute(memberIncarnation, this::closedByProxy));
  }

  private void closedByProxy() {
    if (!silent) {
      endAtMember();
    }
  }

  /** Closes the connection because the proxy's process has ended. */
  void proxyDied() {
    close();
  }

  // ---- the member's end ----

  void memberDied() {
    ended = true;
    toProxy(() -> listener.closed("the member's process has ended"));
  }

  /** Loses all that either end sends from now on. */
  void silence() {
    silent = true;
  }

  /** Ends a silent connection at the member, which rolls back; the proxy isn't told. */
  void dropSilent() {
    endAtMember();
  }

  private void endAtMember() {
    ended = true;
    member.closed(this);
  }

  private void toProxy(Runnable task) {
    if (silent) {
      return;
    }
    world
        .network()
        .deliver(member.host().name(), proxy.name(), () -> proxy.execute(proxyIncarnation, task));
  }

  private void receive(MemberCommand command) {
    if (!silent) {
      commands.addLast(command);
      next();
    }
  }

  private void next() {
    if (working || ended || commands.isEmpty()) {
      return;
    }
    working = true;
    execute(commands.pollFirst());
  }

  private void reply(AnswerCode code, String text) {
    working = false;
    if (ended) {
      return;
    }
    Answer answer = new Answer(List.of(), code, text, state, member.position());
    if (world.breaksConnection(member)) {
      ended = true;
      member.closed(this);
      toProxy(() -> listener.closed("the connection broke before an answer"));
      return;
    }
    toProxy(() -> listener.answered(answer));
    next();
  }

  private void refuse(AnswerCode code) {
    if (state == SessionState.TRANSACTION) {
      state = SessionState.FAILED;
    }
    reply(code, "refused by " + member.id());
  }

  private void execute(MemberCommand command) {
    if (command instanceof MemberCommand.Introduce introduce) {
      introduce(introduce);
    } else if (command instanceof MemberCommand.SetSessionValue set) {
      values.put(set.name(), set.value());
      reply(AnswerCode.COMPLETE, "-");
    } else if (command instanceof MemberCommand.ResetSession) {
      values.clear();
      prepared.clear();
      reply(AnswerCode.COMPLETE, "-");
    } else if (command instanceof MemberCommand.PrepareStatement prepare) {
      prepared.put(prepare.name(), prepare.shape());
      reply(AnswerCode.COMPLETE, "-");
    } else if (command instanceof MemberCommand.RollBack) {
      rollBack();
      reply(AnswerCode.COMPLETE, "-");
    } else if (state == SessionState.FAILED) {
      reply(AnswerCode.MALFORMED, "the transaction has failed");
    } else if (command instanceof MemberCommand.BeginTransaction begin) {
      begin(begin);
    } else if (command instanceof MemberCommand.Run run) {
      run(run.id().value(), run.text(), run.floor());
    } else if (command instanceof MemberCommand.RunPrepared run) {
      runPrepared(run);
    }
  }

  private void introduce(MemberCommand.Introduce introduce) {
    if (!introduce.member().equals(member.id())) {
      reply(AnswerCode.WRONG_MEMBER, member.id().value());
    } else if (member.connectionCount() >= world.size().maxConnections()) {
      world.checks().connectionRefused();
      reply(AnswerCode.TOO_MANY_CONNECTIONS, "no room");
    } else {
      tenant = introduce.tenant();
      member.opened(this);
      reply(AnswerCode.COMPLETE, "-");
    }
  }

  private void begin(MemberCommand.BeginTransaction begin) {
    if (!begin.readOnly() && !member.isPrimary()) {
      refuse(AnswerCode.READ_ONLY);
    } else if (begin.floor() != null && !member.reaches(begin.floor())) {
      refuse(AnswerCode.BEHIND);
    } else {
      state = SessionState.TRANSACTION;
      readOnly = begin.readOnly();
      transactionOwner = "";
      reply(AnswerCode.COMPLETE, "-");
    }
  }

  private void runPrepared(MemberCommand.RunPrepared run) {
    PreparedShape shape = prepared.get(run.name());
    if (shape == null) {
      refuse(AnswerCode.UNKNOWN_NAME);
      return;
    }
    run(run.id().value(), (shape.write() ? "WRITE " : "READ ") + run.arguments(), run.floor());
  }

  private void run(String id, String text, TermPosition floor) {
    boolean write = text.startsWith("WRITE");
    boolean commit = text.equals("COMMIT");
    boolean readWrite = state == SessionState.TRANSACTION && !readOnly;
    boolean demoted = readWrite && !member.isPrimary() && !(commit && writes.isEmpty());
    if (demoted || (write && !member.isPrimary())) {
      refuse(AnswerCode.READ_ONLY);
      return;
    }
    if (floor != null && !member.reaches(floor)) {
      refuse(AnswerCode.BEHIND);
      return;
    }
    long work = commit ? COMMIT_MILLIS : world.workMillis();
    if (!member.run(work, () -> finish(id, write, commit))) {
      refuse(AnswerCode.BUSY);
    }
  }

  private void finish(String id, boolean write, boolean commit) {
    if (ended) {
      return;
    }
    boolean readWrite = state == SessionState.TRANSACTION && !readOnly;
    boolean nothingWritten = commit && writes.isEmpty();
    if ((readWrite || write) && !nothingWritten && !member.isPrimary()) {
      refuse(AnswerCode.READ_ONLY);
      return;
    }
    ServiceWorld.SentStatement sent = world.sent(id);
    if (sent == null) {
      world.checks().ownTransaction(id, "a statement of a caller", "no recorded statement");
      reply(AnswerCode.FAILED, "unknown");
      return;
    }
    checkSession(id, sent);
    if (commit) {
      commit(sent);
    } else if (write && state == SessionState.TRANSACTION) {
      writes.add(id);
    } else if (write) {
      world.committed(id, member.commit(id, sent.session()));
    } else {
      world
          .checks()
          .read(
              member.host().name(),
              member.applied(),
              id,
              sent.consistency(),
              sent.transactionSentMillis(),
              ServiceWorld.STALENESS_MILLIS,
              sent.session());
    }
    String signature = "signed/" + id + '/' + member.id();
    boolean committed = (write && state == SessionState.IDLE) || (commit && !nothingWritten);
    if (committed && world.isSynchronous()) {
      int length = member.received().size();
      member.keepSlot();
      world
          .group()
          .whenReceived(
              member,
              length,
              () -> replyCommitted(AnswerCode.COMPLETE, signature),
              () -> replyCommitted(AnswerCode.TIMEOUT, "no longer primary"));
    } else {
      reply(AnswerCode.COMPLETE, signature);
    }
  }

  /** Answers a commit that a replica has received, or whose member was demoted before. */
  private void replyCommitted(AnswerCode code, String text) {
    member.releaseSlot();
    if (!ended) {
      reply(code, text);
    }
  }

  private void checkSession(String id, ServiceWorld.SentStatement sent) {
    world.checks().sessionValues(id, sent.values(), values);
    world.checks().tenant(id, sent.tenant(), tenant);
    world.checks().keyInForce(id, sent.key(), world.isStablyConfirmed(sent.proxy()));
    boolean implicitTransaction = state == SessionState.TRANSACTION && sent.transaction().isEmpty();
    if (state == SessionState.TRANSACTION && !implicitTransaction) {
      if (transactionOwner.isEmpty()) {
        transactionOwner = sent.transaction();
      }
      world.checks().ownTransaction(id, sent.transaction(), transactionOwner);
    } else if (!sent.transaction().isEmpty()) {
      world.checks().ownTransaction(id, sent.transaction(), "no transaction");
    }
    if (sent.transaction().isEmpty() || sent.firstOfTransaction()) {
      world.checks().newWork(member.id().value(), id, world.isStablyConfirmed(sent.proxy()));
      world.checks().operation(sent.tenant(), id, ServiceWorld.QUOTAS);
    }
  }

  private void commit(ServiceWorld.SentStatement sent) {
    for (String write : writes) {
      world.committed(write, member.commit(write, sent.session()));
    }
    writes.clear();
    state = SessionState.IDLE;
  }

  private void rollBack() {
    writes.clear();
    state = SessionState.IDLE;
  }
}
