package org.streamcourse.connection.member;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.streamcourse.connection.relay.HolderOrder;
import org.streamcourse.process.SchedulerWorker;
import org.streamcourse.process.Worker;
import org.streamcourse.request.statement.Answer;
import org.streamcourse.request.statement.AnswerCode;
import org.streamcourse.request.statement.SessionState;
import org.streamcourse.request.statement.StatementId;
import org.streamcourse.version.image.LinkShare;
import org.streamcourse.version.image.MemberId;
import org.streamcourse.version.image.RegisteredMember;
import org.streamcourse.version.image.TenantId;
import org.streamcourse.version.image.TermPosition;
import reactor.test.scheduler.VirtualTimeScheduler;

/**
 * One member that rejects what comes beyond its slots, the nodes that hold its connections, and the
 * work of 86 tenants of unequal size, on a virtual clock. In the middle third one kind of work
 * comes 2.6 times as often and one tenant sends 5.5 times its usual; a few transactions rest for
 * long.
 */
final class HolderWorld implements MemberDialer {
  /** Who holds the connections, and who counts the slots. */
  enum Way {
    /** Four holders with equal parts of the connections; nobody counts slots. */
    FOUR_HOLDERS(4, 11, 0),
    /** The same, and each holder has an equal part of the slots. */
    FOUR_WITH_PARTS(4, 11, 1),
    /** The same, and each holder learns from rejections how much it may have under way. */
    FOUR_THAT_LEARN(4, 11, 4),
    /** Two holders with half of the slots each. */
    TWO_WITH_PARTS(2, 18, 2),
    /** One holder of all connections; nobody counts slots. */
    ONE_HOLDER(1, 44, 0),
    /** One owner of connections and slots. */
    OWNER(1, 44, 4);

    private final int holders;
    private final int links;
    private final int slots;

    Way(int holders, int links, int slots) {
      this.holders = holders;
      this.links = links;
      this.slots = slots;
    }
  }

  /** Kinds of work: how often, how long, how many of them are transactions. */
  private enum Kind {
    POST(0.13, 3, 0.25, 500),
    LOOK(0.23, 15, 0.1, 800),
    QUERY(0.64, 9, 0.12, 2_000);

    private final double part;
    private final long workMillis;
    private final double transactions;
    private final long targetMillis;

    Kind(double part, long workMillis, double transactions, long targetMillis) {
      this.part = part;
      this.workMillis = workMillis;
      this.transactions = transactions;
      this.targetMillis = targetMillis;
    }
  }

  /** What is measured. */
  static final class Figures {
    long units;
    long arrivals;
    long rejected;
    long statements;
    long openings;
    long refused;
    long refusedAfterMillis;
    long idleWhileWaiting;
    int mostConnections;
    final List<Long> waits = new ArrayList<>();

    double rejectedShare() {
      return (double) rejected / arrivals;
    }

    double openingsPerStatement() {
      return (double) openings / statements;
    }

    long served() {
      return waits.size();
    }

    @Override
    public String toString() {
      return String.format(
          "%d units, %d served, %d refused after %d ms, %.3f of arrivals rejected, "
              + "%.3f openings a statement, waits %d and %d ms, %d idle slot ms, %d connections",
          units,
          served(),
          refused,
          refused == 0 ? 0 : refusedAfterMillis / refused,
          rejectedShare(),
          openingsPerStatement(),
          wait(0.5),
          wait(0.99),
          idleWhileWaiting,
          mostConnections);
    }

    long wait(double quantile) {
      waits.sort(null);
      return waits.get((int) (quantile * (waits.size() - 1)));
    }
  }

  static final int SLOTS = 4;
  static final int CONNECTIONS = 56;
  static final int TENANTS = 86;
  static final long LENGTH_MILLIS = 30_000;

  private static final long OPENING_MILLIS = 12;
  private static final long WAY_MILLIS = 1;
  private static final long REST_MILLIS = 60;
  private static final long LONG_REST_MILLIS = 3_000;
  private static final double LONG_RESTS = 0.02;
  private static final int STATEMENTS_A_TRANSACTION = 4;
  private static final double BURST = 2.6;
  private static final double GREEDY = 5.5;
  private static final RegisteredMember MEMBER =
      new RegisteredMember(new MemberId("i-1"), "10.0.0.1", 1, "z", SLOTS, false);

  final Figures figures = new Figures();
  private final VirtualTimeScheduler clock = VirtualTimeScheduler.create();
  private final Worker worker = SchedulerWorker.onSchedulerClock(clock);
  private final UniformRandomProvider random;
  private final Way way;
  private final double unitsPerSecond;
  private final List<String> names = new ArrayList<>();
  private final List<MemberLinks> holders = new ArrayList<>();
  private final double[] learned;
  private int busy;
  private int connections;
  private int waitingUnits;

  HolderWorld(Way way, double unitsPerSecond, long seed) {
    this.way = way;
    this.unitsPerSecond = unitsPerSecond;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    this.learned = new double[way.holders];
    for (int i = 0; i < way.holders; i++) {
      names.add("n" + i);
      learned[i] = way.slots;
      MemberLinks links = new MemberLinks(worker, this, MemberRelay.NONE, "s", MEMBER, () -> {});
      holders.add(links);
      links.update(MEMBER, share(way.slots));
      worker.repeat(100, links::check);
    }
  }

  private LinkShare share(int slots) {
    return new LinkShare(LinkShare.Role.OWNER, way.links, slots, List.of(), List.of(), 0);
  }

  Figures run() {
    arrive();
    worker.repeat(1, this::sample);
    clock.advanceTimeBy(Duration.ofMillis(LENGTH_MILLIS));
    return figures;
  }

  private void sample() {
    figures.idleWhileWaiting += waitingUnits > 0 ? SLOTS - busy : 0;
  }

  // ---- callers ----

  private boolean isBurst() {
    return worker.now() > LENGTH_MILLIS / 3 && worker.now() < 2 * LENGTH_MILLIS / 3;
  }

  private void arrive() {
    double factor = isBurst() ? 1 + Kind.QUERY.part * (BURST - 1) : 1;
    double pause = -Math.log(1 - random.nextDouble()) * 1_000 / (unitsPerSecond * factor);
    worker.schedule(
        Math.max(1, Math.round(pause)),
        () -> {
          new Unit(kind(), tenant()).start();
          arrive();
        });
  }

  private Kind kind() {
    double query = Kind.QUERY.part * (isBurst() ? BURST : 1);
    double drawn = random.nextDouble() * (Kind.POST.part + Kind.LOOK.part + query);
    if (drawn < Kind.POST.part) {
      return Kind.POST;
    }
    return drawn < Kind.POST.part + Kind.LOOK.part ? Kind.LOOK : Kind.QUERY;
  }

  /** Zipf's law with exponent 1; the first tenant wants more in a burst. */
  private int tenant() {
    double greedy = isBurst() ? GREEDY : 1;
    double sum = greedy;
    for (int i = 2; i <= TENANTS; i++) {
      sum += 1.0 / i;
    }
    double drawn = random.nextDouble() * sum - greedy;
    int tenant = 1;
    while (drawn > 0 && tenant < TENANTS) {
      tenant++;
      drawn -= 1.0 / tenant;
    }
    return tenant;
  }

  /** One statement or transaction; as a channel does, it asks the next holder when one has none. */
  private final class Unit implements LinkRequest, CommandListener {
    private final Kind kind;
    private final TenantId tenant;
    private final boolean transaction;
    private final Deque<Integer> order = new ArrayDeque<>();
    private final long cameMillis = worker.now();
    private int statementsLeft;
    private int holder;
    private long workMillis;
    private boolean ran;
    private boolean waits;
    private MemberLink link;
    private final UniformRandomProvider own;

    Unit(Kind kind, int tenant) {
      this.kind = kind;
      this.tenant = new TenantId("t" + tenant);
      // Of its own, so that all ways are given the same work.
      this.own = RandomSource.SPLIT_MIX_64.create(random.nextLong());
      this.transaction = own.nextDouble() < kind.transactions;
      this.statementsLeft = transaction ? STATEMENTS_A_TRANSACTION : 1;
      HolderOrder.of(names, MEMBER.id(), this.tenant)
          .forEach(name -> order.add(names.indexOf(name)));
    }

    void start() {
      figures.units++;
      waits(true);
      askNext();
    }

    private void askNext() {
      holder = order.poll();
      holders.get(holder).acquire(this);
    }

    private void waits(boolean value) {
      waitingUnits += value == waits ? 0 : value ? 1 : -1;
      waits = value;
    }

    @Override
    public int priority() {
      return kind.ordinal();
    }

    @Override
    public boolean needsPrimary() {
      return true;
    }

    @Override
    public TenantId tenant() {
      return tenant;
    }

    @Override
    public long maxWaitMillis() {
      return Math.max(1, kind.targetMillis / 2 - (worker.now() - cameMillis));
    }

    @Override
    public Map<String, String> sessionValues() {
      return Map.of();
    }

    @Override
    public void granted(MemberLink granted) {
      link = granted;
      if (transaction) {
        link.run(new MemberCommand.BeginTransaction(false, null), this);
      } else {
        next();
      }
    }

    private void next() {
      workMillis = Math.round(kind.workMillis * (0.5 + own.nextDouble()));
      String text = Long.toString(workMillis);
      link.run(new MemberCommand.Run(new StatementId("x"), text, null), this);
    }

    @Override
    public void refused(String cause, long retryAfterMillis) {
      boolean asksAnother = !order.isEmpty() && maxWaitMillis() > 1;
      if (asksAnother) {
        askNext();
      } else {
        waits(false);
        figures.refused++;
        figures.refusedAfterMillis += worker.now() - cameMillis;
      }
    }

    @Override
    public void answered(Answer answer) {
      learn(answer.isComplete());
      if (answer.text().equals("run")) {
        statementsLeft--;
        noteFirstRun();
      }
      if (!answer.isComplete() || statementsLeft == 0) {
        waits(false);
        holders.get(holder).releaseRolledBack(link);
        return;
      }
      long mean = own.nextDouble() < LONG_RESTS ? LONG_REST_MILLIS : REST_MILLIS;
      worker.schedule(1 + Math.round(own.nextDouble() * 2 * mean), this::next);
    }

    private void learn(boolean success) {
      if (way == Way.FOUR_THAT_LEARN) {
        double next = success ? learned[holder] + 0.02 : learned[holder] * 0.7;
        learned[holder] = Math.min(SLOTS, Math.max(1, next));
        holders.get(holder).update(MEMBER, share((int) learned[holder]));
      }
    }

    @Override
    public void lost(String cause) {
      waits(false);
      holders.get(holder).release(link);
    }

    private void noteFirstRun() {
      waits(false);
      if (!ran) {
        figures.waits.add(worker.now() - cameMillis - workMillis);
      }
      ran = true;
    }
  }

  // ---- the member ----

  @Override
  public void dial(String host, int port, MemberChannel.Listener listener) {
    worker.schedule(2 * WAY_MILLIS, () -> listener.connected(new Channel(listener)));
  }

  /** Runs one command after the other; each that needs a slot is rejected while all are taken. */
  private final class Channel implements MemberChannel {
    private final Listener listener;
    private final Deque<MemberCommand> commands = new ArrayDeque<>();
    private SessionState state = SessionState.IDLE;
    private boolean accepted;
    private boolean closed;
    private boolean running;

    Channel(Listener listener) {
      this.listener = listener;
    }

    @Override
    public void send(MemberCommand command) {
      worker.schedule(
          WAY_MILLIS,
          () -> {
            commands.add(command);
            next();
          });
    }

    private void next() {
      MemberCommand command = running ? null : commands.poll();
      if (command == null) {
        return;
      }
      if (!MemberSlots.isTakenBy(command)) {
        state =
            command instanceof MemberCommand.BeginTransaction
                ? SessionState.TRANSACTION
                : SessionState.IDLE;
        answer(AnswerCode.COMPLETE, "");
        return;
      }
      figures.arrivals++;
      if (busy >= SLOTS) {
        figures.rejected++;
        answer(AnswerCode.BUSY, "");
        return;
      }
      run(command);
    }

    private void run(MemberCommand command) {
      boolean opens = command instanceof MemberCommand.Introduce;
      if (opens && connections >= CONNECTIONS) {
        answer(AnswerCode.TOO_MANY_CONNECTIONS, "");
        return;
      }
      accepted |= opens;
      connections += opens ? 1 : 0;
      figures.mostConnections = Math.max(figures.mostConnections, connections);
      figures.openings += opens ? 1 : 0;
      figures.statements += opens ? 0 : 1;
      busy++;
      running = true;
      long work =
          command instanceof MemberCommand.Run statement
              ? Long.parseLong(statement.text())
              : OPENING_MILLIS;
      worker.schedule(work, () -> end(opens));
    }

    private void end(boolean opens) {
      busy--;
      running = false;
      answer(AnswerCode.COMPLETE, opens ? "" : "run");
      next();
    }

    private void answer(AnswerCode code, String text) {
      Answer answer = new Answer(List.of(), code, text, state, new TermPosition(1, 1));
      worker.schedule(
          WAY_MILLIS,
          () -> {
            if (!closed) {
              listener.answered(answer);
            }
          });
    }

    @Override
    public void flush() {
      // Sent at once.
    }

    @Override
    public void close() {
      connections -= accepted && !closed ? 1 : 0;
      closed = true;
    }
  }
}
