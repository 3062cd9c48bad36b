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
 * Simulation, on a virtual clock, of one member that rejects commands beyond its slots, the nodes
 * that hold its connections, and the work of 86 tenants of unequal size. In the middle third of the
 * time one kind of work arrives 2.6 times as often and one tenant sends 5.5 times its usual load; a
 * few transactions are idle for long between statements.
 */
final class HolderWorld implements MemberDialer {
  /** How connections and slots of the member are distributed over holders. */
  enum Strategy {
    /** Four holders with equal shares of the connections, without a limit on slots. */
    FOUR_HOLDERS(4, 11, 0),
    /** Four holders with equal shares of the connections and of the slots. */
    FOUR_WITH_PARTS(4, 11, 1),
    /**
     * Four holders with equal shares of the connections; each adapts its slot limit to rejections.
     */
    FOUR_THAT_LEARN(4, 11, 4),
    /** Two holders with half of the slots each. */
    TWO_WITH_PARTS(2, 18, 2),
    /** One holder of all connections, without a limit on slots. */
    ONE_HOLDER(1, 44, 0),
    /** One owner of all connections and slots. */
    OWNER(1, 44, 4);

    private final int holders;
    private final int links;
    private final int slots;

    Strategy(int holders, int links, int slots) {
      this.holders = holders;
      this.links = links;
      this.slots = slots;
    }
  }

  /**
   * Kinds of work: share of all units, mean statement time, share of transactions, target latency.
   */
  private enum Kind {
    POST(0.13, 3, 0.25, 500),
    LOOK(0.23, 15, 0.1, 800),
    QUERY(0.64, 9, 0.12, 2_000);

    private final double share;
    private final long workMillis;
    private final double transactions;
    private final long targetMillis;

    Kind(double share, long workMillis, double transactions, long targetMillis) {
      this.share = share;
      this.workMillis = workMillis;
      this.transactions = transactions;
      this.targetMillis = targetMillis;
    }
  }

  /** Figures of one run. */
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
  private static final long LATENCY_MILLIS = 1;
  private static final long IDLE_MILLIS = 60;
  private static final long LONG_IDLE_MILLIS = 3_000;
  private static final double LONG_IDLE_SHARE = 0.02;
  private static final int STATEMENTS_PER_TRANSACTION = 4;
  private static final double BURST_FACTOR = 2.6;
  private static final double GREEDY_FACTOR = 5.5;
  private static final RegisteredMember MEMBER =
      new RegisteredMember(new MemberId("i-1"), "10.0.0.1", 1, "z", SLOTS, false);

  final Figures figures = new Figures();
  private final VirtualTimeScheduler clock = VirtualTimeScheduler.create();
  private final Worker worker = SchedulerWorker.onSchedulerClock(clock);
  private final UniformRandomProvider random;
  private final Strategy strategy;
  private final double unitsPerSecond;
  private final List<String> names = new ArrayList<>();
  private final List<MemberLinks> holders = new ArrayList<>();
  private final double[] learnedSlots;
  private int busy;
  private int connections;
  private int waitingUnits;

  HolderWorld(Strategy strategy, double unitsPerSecond, long seed) {
    this.strategy = strategy;
    this.unitsPerSecond = unitsPerSecond;
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    this.learnedSlots = new double[strategy.holders];
    for (int i = 0; i < strategy.holders; i++) {
      names.add("n" + i);
      learnedSlots[i] = strategy.slots;
      MemberLinks links = new MemberLinks(worker, this, MemberRelay.NONE, "s", MEMBER, () -> {});
      holders.add(links);
      links.update(MEMBER, share(strategy.slots));
      worker.repeat(100, links::check);
    }
  }

  private LinkShare share(int slots) {
    return new LinkShare(LinkShare.Role.OWNER, strategy.links, slots, List.of(), List.of(), 0);
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
    double factor = isBurst() ? 1 + Kind.QUERY.share * (BURST_FACTOR - 1) : 1;
    double pause = -Math.log(1 - random.nextDouble()) * 1_000 / (unitsPerSecond * factor);
    worker.schedule(
        Math.max(1, Math.round(pause)),
        () -> {
          new Unit(kind(), tenant()).start();
          arrive();
        });
  }

  private Kind kind() {
    double query = Kind.QUERY.share * (isBurst() ? BURST_FACTOR : 1);
    double drawn = random.nextDouble() * (Kind.POST.share + Kind.LOOK.share + query);
    if (drawn < Kind.POST.share) {
      return Kind.POST;
    }
    return drawn < Kind.POST.share + Kind.LOOK.share ? Kind.LOOK : Kind.QUERY;
  }

  /** Draws a tenant by Zipf's law with exponent 1; the first tenant's load is higher in a burst. */
  private int tenant() {
    double greedy = isBurst() ? GREEDY_FACTOR : 1;
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

  /**
   * One statement or transaction; like a relay channel it goes to the next holder when one refuses.
   */
  private final class Unit implements LinkRequest, CommandListener {
    private final Kind kind;
    private final TenantId tenant;
    private final boolean transaction;
    private final Deque<Integer> order = new ArrayDeque<>();
    private final long arrivedMillis = worker.now();
    private int statementsLeft;
    private int holder;
    private long workMillis;
    private boolean ran;
    private boolean waits;
    private MemberLink link;
    private final UniformRandomProvider unitRandom;

    Unit(Kind kind, int tenant) {
      this.kind = kind;
      this.tenant = new TenantId("t" + tenant);
      // A generator per unit, so that all strategies get the same work.
      this.unitRandom = RandomSource.SPLIT_MIX_64.create(random.nextLong());
      this.transaction = unitRandom.nextDouble() < kind.transactions;
      this.statementsLeft = transaction ? STATEMENTS_PER_TRANSACTION : 1;
      HolderOrder.of(names, MEMBER.id(), this.tenant)
          .forEach(name -> order.add(names.indexOf(name)));
    }

    void start() {
      figures.units++;
      setWaiting(true);
      askNext();
    }

    private void askNext() {
      holder = order.poll();
      holders.get(holder).acquire(this);
    }

    private void setWaiting(boolean value) {
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
      return Math.max(1, kind.targetMillis / 2 - (worker.now() - arrivedMillis));
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
      workMillis = Math.round(kind.workMillis * (0.5 + unitRandom.nextDouble()));
      String text = Long.toString(workMillis);
      link.run(new MemberCommand.Run(new StatementId("x"), text, null), this);
    }

    @Override
    public void refused(String cause, long retryAfterMillis) {
      boolean asksAnother = !order.isEmpty() && maxWaitMillis() > 1;
      if (asksAnother) {
        askNext();
      } else {
        setWaiting(false);
        figures.refused++;
        figures.refusedAfterMillis += worker.now() - arrivedMillis;
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
        setWaiting(false);
        holders.get(holder).releaseRolledBack(link);
        return;
      }
      long mean = unitRandom.nextDouble() < LONG_IDLE_SHARE ? LONG_IDLE_MILLIS : IDLE_MILLIS;
      worker.schedule(1 + Math.round(unitRandom.nextDouble() * 2 * mean), this::next);
    }

    private void learn(boolean success) {
      if (strategy == Strategy.FOUR_THAT_LEARN) {
        double next = success ? learnedSlots[holder] + 0.02 : learnedSlots[holder] * 0.7;
        learnedSlots[holder] = Math.min(SLOTS, Math.max(1, next));
        holders.get(holder).update(MEMBER, share((int) learnedSlots[holder]));
      }
    }

    @Override
    public void lost(String cause) {
      setWaiting(false);
      holders.get(holder).release(link);
    }

    private void noteFirstRun() {
      setWaiting(false);
      if (!ran) {
        figures.waits.add(worker.now() - arrivedMillis - workMillis);
      }
      ran = true;
    }
  }

  // ---- the member ----

  @Override
  public void dial(String host, int port, MemberChannel.Listener listener) {
    worker.schedule(2 * LATENCY_MILLIS, () -> listener.connected(new Channel(listener)));
  }

  /** Runs one command after the other; rejects a command that needs a slot while all are taken. */
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
          LATENCY_MILLIS,
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
      if (!MemberSlots.needsSlot(command)) {
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
          LATENCY_MILLIS,
          () -> {
            if (!closed) {
              listener.answered(answer);
            }
          });
    }

    @Override
    public void flush() {
      // send() delivers at once.
    }

    @Override
    public void close() {
      connections -= accepted && !closed ? 1 : 0;
      closed = true;
    }
  }
}
