package org.streamcourse.request.routing;

import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamcourse.connection.member.MemberObservation;
import org.streamcourse.connection.member.MemberState;
import org.streamcourse.connection.member.ReadFloor;
import org.streamcourse.version.image.MemberId;
import org.streamcourse.version.image.TenantId;
import org.streamcourse.version.image.TermPosition;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Compares two ways to choose the member for a read, on the same seeds and loads: by the answers
 * that each node has received itself, with a short penalty after BEHIND (the former way); and by
 * expected finish with the observations of holders ({@link MemberChoice}, {@link MemberState}).
 * Models 40 nodes in three regions, one primary and two replicas with four slots each, and one
 * holder for each member.
 */
public class MemberChoiceLoadTest {
  private static final Logger LOG = LoggerFactory.getLogger(MemberChoiceLoadTest.class);

  private static final int NODES = 40;
  private static final int MEMBERS = 3;
  private static final int SLOTS = 4;
  private static final long NEAR_MILLIS = 1;
  private static final long FAR_MILLIS = 20;
  private static final int READS_PER_SECOND = 120;
  private static final int WRITES_PER_SECOND = 20;
  private static final long WORK_MILLIS = 10;
  private static final long WRITE_WORK_MILLIS = 3;
  private static final long STALENESS_MILLIS = 1_350;
  private static final long START_MILLIS = 20_000;
  private static final long TROUBLE_MILLIS = 4_000;
  private static final long TROUBLE_ENDS_MILLIS = 10_000;
  private static final long END_MILLIS = 13_000;

  /** Target latency of the reads. */
  private static final long TARGET_MILLIS = 300;

  /**
   * Greatest share of BEHIND answers; reads must discover each of two replicas that begin to lag.
   */
  private static final double MAX_BEHIND_SHARE = 0.04;

  private static final double TOLERANCE = 0.005;

  /** Lags and loads while the trouble lasts. */
  private record Pattern(
      String name, long firstLag, long secondLag, long firstWorkFactor, double readFactor) {}

  private static final List<Pattern> PATTERNS =
      List.of(
          new Pattern("calm", 30, 30, 1, 1),
          new Pattern("one replica 110 times further behind", 3_300, 30, 1, 1),
          new Pattern("both replicas 110 times further behind", 3_300, 3_300, 1, 1),
          new Pattern("a slow replica", 30, 30, 10, 1),
          new Pattern("a lagging replica in a burst of reads by 2.6", 3_300, 30, 1, 2.6),
          new Pattern("both lagging in a burst of reads by 2.6", 3_300, 3_300, 1, 2.6));

  /** Result of one run of the model. */
  private static final class Result {
    private int reads;
    private int behind;
    private int inTime;
    private long tookMillis;

    double behindShare() {
      return (double) behind / reads;
    }

    long meanMillis() {
      return tookMillis / reads;
    }

    double inTimeShare() {
      return (double) inTime / reads;
    }
  }

  @DataProvider
  public Object[][] patterns() {
    return PATTERNS.stream().map(each -> new Object[] {each}).toArray(Object[][]::new);
  }

  @Test(dataProvider = "patterns")
  public void expectedFinishIsNoWorseAndSendsFewReadsToMembersThatLackTheirFloor(Object named) {
    Pattern pattern = (Pattern) named;
    for (long seed = 1; seed <= 3; seed++) {
      Result former = new Model(seed, pattern, false).run();
      Result present = new Model(seed, pattern, true).run();
      String figures = pattern.name() + " seed " + seed + text(former) + " ->" + text(present);
      LOG.info(figures);
      assertTrue(present.behindShare() <= MAX_BEHIND_SHARE, figures);
      assertTrue(present.inTimeShare() >= former.inTimeShare() - TOLERANCE, figures);
      assertTrue(present.meanMillis() <= former.meanMillis() + 1, figures);
    }
  }

  private static String text(Result result) {
    return String.format(
        " behind %.3f, in time %.3f, mean %d ms",
        result.behindShare(), result.inTimeShare(), result.meanMillis());
  }

  /** Discrete-event model for one run. */
  private static final class Model {
    private record Event(long millis, long number, Runnable task) {}

    private final PriorityQueue<Event> events =
        new PriorityQueue<>(
            (a, b) ->
                a.millis() == b.millis()
                    ? Long.compare(a.number(), b.number())
                    : Long.compare(a.millis(), b.millis()));

    private final Random random;
    private final Pattern pattern;
    private final boolean byExpectedFinish;
    private final List<Server> servers = new ArrayList<>();
    private final List<Node> nodes = new ArrayList<>();
    private final List<Long> commits = new ArrayList<>();
    private final Result result = new Result();
    private long now = START_MILLIS;
    private long numbers;

    Model(long seed, Pattern pattern, boolean byExpectedFinish) {
      this.random = new Random(seed);
      this.pattern = pattern;
      this.byExpectedFinish = byExpectedFinish;
      for (int i = 0; i < MEMBERS; i++) {
        servers.add(new Server(i));
      }
      for (int i = 0; i < NODES; i++) {
        nodes.add(new Node(i));
      }
    }

    Result run() {
      arrivals(READS_PER_SECOND, () -> nodes.get(random.nextInt(NODES)).read());
      arrivals(WRITES_PER_SECOND, () -> nodes.get(random.nextInt(NODES)).write());
      servers.forEach(each -> after(100, each::watch));
      while (!events.isEmpty()) {
        Event event = events.poll();
        now = event.millis();
        event.task().run();
      }
      return result;
    }

    private boolean troubled() {
      return now >= START_MILLIS + TROUBLE_MILLIS && now < START_MILLIS + TROUBLE_ENDS_MILLIS;
    }

    private void after(long millis, Runnable task) {
      numbers++;
      events.add(new Event(now + Math.max(0, millis), numbers, task));
    }

    private void arrivals(int perSecond, Runnable task) {
      if (now > START_MILLIS + END_MILLIS) {
        return;
      }
      double factor = perSecond == READS_PER_SECOND && troubled() ? pattern.readFactor() : 1;
      double gap = -Math.log(1 - random.nextDouble()) * 1_000 / (perSecond * factor);
      after(
          Math.round(gap),
          () -> {
            task.run();
            arrivals(perSecond, task);
          });
    }

    /** A member with its holder. */
    private final class Server {
      private final int number;
      private final Deque<Runnable> queue = new ArrayDeque<>();
      private final MemberState holder =
          new MemberState(() -> now, this::waitMillis, () -> Long.MAX_VALUE);
      private int busy;
      private long shown;
      private long publishedLag;
      private long publishedMillis;

      Server(int number) {
        this.number = number;
      }

      MemberId id() {
        return new MemberId("i-" + number);
      }

      private long waitMillis() {
        return queue.size() * WORK_MILLIS / SLOTS;
      }

      private long lag() {
        if (number == 0) {
          return 0;
        }
        long first = troubled() ? pattern.firstLag() : 30;
        long second = troubled() ? pattern.secondLag() : 30;
        return number == 1 ? first : second;
      }

      TermPosition position() {
        long visible = now - lag();
        shown = Math.max(shown, commits.stream().filter(each -> each <= visible).count());
        return new TermPosition(1, 1 + shown);
      }

      void work(long millis, Runnable done) {
        long factor = number == 1 && troubled() ? pattern.firstWorkFactor() : 1;
        Runnable start =
            () ->
                after(
                    millis * factor,
                    () -> {
                      busy--;
                      done.run();
                      next();
                    });
        queue.add(start);
        next();
      }

      private void next() {
        while (busy < SLOTS && !queue.isEmpty()) {
          busy++;
          queue.poll().run();
        }
      }

      /** Publishes observations as {@link MemberWatch} does. */
      void watch() {
        if (now > START_MILLIS + END_MILLIS) {
          return;
        }
        after(100, this::watch);
        boolean behind = holder.lagMillis() >= 100;
        if (!byExpectedFinish || number == 0 || !(behind || publishedLag > 0)) {
          return;
        }
        holder.onPrimaryPosition(servers.get(0).position(), 2 * FAR_MILLIS);
        holder.onAnswer(position());
        MemberObservation observation = holder.observation();
        boolean changed =
            observation.lagMillis() > 4 * publishedLag
                || 4 * observation.lagMillis() < publishedLag
                || now - publishedMillis >= 1_000;
        if (changed || !behind) {
          publishedLag = behind ? observation.lagMillis() : 0;
          publishedMillis = now;
          nodes.forEach(
              node ->
                  after(node.way(number), () -> node.known.get(number).onObservation(observation)));
        }
      }
    }

    /** A node with callers. */
    private final class Node {
      private final int region;
      private final PrimaryPositions positions = new PrimaryPositions();
      private final List<AnswerTimes> times = new ArrayList<>();
      private final long[] behindMillis = new long[MEMBERS];
      private final List<MemberState> known = new ArrayList<>();

      Node(int number) {
        region = number % MEMBERS;
        for (int i = 0; i < MEMBERS; i++) {
          times.add(new AnswerTimes(i == region ? 20 : 60));
          known.add(new MemberState(() -> now, () -> 0, () -> Long.MAX_VALUE));
        }
      }

      long way(int member) {
        return member == region ? NEAR_MILLIS : FAR_MILLIS;
      }

      private void sample(long sentMillis, TermPosition position) {
        positions.add(sentMillis, now, position);
        known.forEach(each -> each.onPrimaryPosition(position, now - sentMillis));
      }

      void write() {
        long sent = now;
        Server primary = servers.get(0);
        after(
            way(0),
            () ->
                primary.work(
                    WRITE_WORK_MILLIS,
                    () -> {
                      commits.add(now);
                      TermPosition answered = primary.position();
                      after(way(0), () -> sample(sent, answered));
                    }));
      }

      void read() {
        if (troubled()) {
          result.reads++;
        }
        new Read(this, now, troubled()).next();
      }

      /** Returns the floor, or null when the primary must be probed first. */
      TermPosition floor() {
        return positions.floor(now, STALENESS_MILLIS);
      }

      private int choose(Set<Integer> tried, ReadFloor floor) {
        return byExpectedFinish ? byFinish(tried, floor) : byOwnAnswers(tried);
      }

      private int byFinish(Set<Integer> tried, ReadFloor floor) {
        List<MemberChoice.Candidate> candidates = new ArrayList<>();
        for (int i = 0; i < MEMBERS; i++) {
          if (!tried.contains(i)) {
            long catchUp = i == 0 ? 0 : known.get(i).estimatedCatchUpMillis(floor);
            candidates.add(
                new MemberChoice.Candidate(
                    servers.get(i).id(),
                    i == 0,
                    times.get(i).expectedMillis(now),
                    0,
                    known.get(i).reportedWaitMillis(),
                    catchUp,
                    0));
          }
        }
        MemberChoice.Chosen choice = MemberChoice.choose(candidates, TenantId.NONE);
        return choice == null ? 0 : choice.chosen().id().value().charAt(2) - '0';
      }

      /** The former way: average latency, with a factor of 4 for 150 ms after an answer BEHIND. */
      private int byOwnAnswers(Set<Integer> tried) {
        int best = 0;
        double bestCost = Double.MAX_VALUE;
        for (int i = 0; i < MEMBERS; i++) {
          double cost = times.get(i).expectedMillis(now) * (i == 0 ? 2 : 1);
          cost *= now - behindMillis[i] < 150 ? 4 : 1;
          if (!tried.contains(i) && cost < bestCost) {
            best = i;
            bestCost = cost;
          }
        }
        return best;
      }
    }

    /** One read. */
    private final class Read {
      private final Node node;
      private final long startedMillis;
      private final boolean counted;
      private final Set<Integer> tried = new HashSet<>();
      private long sentMillis;
      private boolean retriedAtHolder;

      Read(Node node, long startedMillis, boolean counted) {
        this.node = node;
        this.startedMillis = startedMillis;
        this.counted = counted;
      }

      void next() {
        TermPosition position = node.floor();
        if (position == null) {
          probePrimary();
          return;
        }
        long age = node.positions.knownForMillis(position, now);
        ReadFloor floor = new ReadFloor(position, age, 40);
        int member = tried.size() == MEMBERS ? 0 : node.choose(tried, floor);
        sentMillis = now;
        after(node.way(member), () -> arrived(member, floor, now));
      }

      private void probePrimary() {
        long sent = now;
        after(
            node.way(0),
            () -> {
              TermPosition answered = servers.get(0).position();
              after(
                  node.way(0),
                  () -> {
                    node.sample(sent, answered);
                    next();
                  });
            });
      }

      private void arrived(int member, ReadFloor sent, long arrivedMillis) {
        Server server = servers.get(member);
        ReadFloor floor = sent.after(now - arrivedMillis);
        long wait = 0;
        if (byExpectedFinish && member != 0) {
          server.holder.onPrimaryPosition(floor.position(), floor.ageMillis());
          wait = server.holder.estimatedCatchUpMillis(floor);
        }
        if (wait > floor.maxWaitMillis()) {
          back(member);
        } else if (wait > 0) {
          after(wait, () -> arrived(member, sent, arrivedMillis));
        } else if (!server.position().reaches(floor.position())) {
          lacks(member, sent, floor, arrivedMillis);
        } else {
          server.work(WORK_MILLIS, () -> answered(member));
        }
      }

      private void lacks(int member, ReadFloor sent, ReadFloor floor, long arrivedMillis) {
        Server server = servers.get(member);
        server.holder.onAnswer(server.position());
        server.holder.onBehind(floor);
        if (byExpectedFinish && !retriedAtHolder) {
          retriedAtHolder = true;
          arrived(member, sent, arrivedMillis);
        } else {
          back(member);
        }
      }

      /** Returns the read to its node without running it, which costs a round trip. */
      private void back(int member) {
        result.behind += counted ? 1 : 0;
        MemberObservation observation = servers.get(member).holder.observation();
        after(
            node.way(member),
            () -> {
              node.behindMillis[member] = now;
              node.known.get(member).onObservation(observation);
              tried.add(member);
              next();
            });
      }

      private void answered(int member) {
        servers.get(member).holder.onAnswer(servers.get(member).position());
        MemberObservation observation = servers.get(member).holder.observation();
        after(
            node.way(member),
            () -> {
              node.times.get(member).add(now - sentMillis, now);
              node.known.get(member).onObservation(observation);
              if (counted) {
                long took = now - startedMillis;
                result.tookMillis += took;
                result.inTime += took <= TARGET_MILLIS ? 1 : 0;
              }
            });
      }
    }
  }
}
