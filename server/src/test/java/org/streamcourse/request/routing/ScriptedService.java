package org.streamcourse.request.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.streamcourse.connection.member.MemberChannel;
import org.streamcourse.connection.member.MemberCommand;
import org.streamcourse.connection.member.MemberDialer;
import org.streamcourse.connection.member.MemberLink;
import org.streamcourse.connection.member.MemberLinks;
import org.streamcourse.connection.member.MemberRelay;
import org.streamcourse.process.LineBudget;
import org.streamcourse.process.SchedulerWorker;
import org.streamcourse.process.Worker;
import org.streamcourse.request.statement.Answer;
import org.streamcourse.request.statement.AnswerCode;
import org.streamcourse.request.statement.SessionState;
import org.streamcourse.request.statement.Statement;
import org.streamcourse.request.statement.StatementId;
import org.streamcourse.request.statement.StatementRequest;
import org.streamcourse.version.image.ClusterChange;
import org.streamcourse.version.image.ClusterImage;
import org.streamcourse.version.image.MemberId;
import org.streamcourse.version.image.NodeImage;
import org.streamcourse.version.image.Placement;
import org.streamcourse.version.image.RegisteredMember;
import org.streamcourse.version.image.RouteConsistency;
import org.streamcourse.version.image.RouteRule;
import org.streamcourse.version.image.RoutingDocument;
import org.streamcourse.version.image.ServiceRules;
import org.streamcourse.version.image.SessionLimits;
import org.streamcourse.version.image.TenantId;
import org.streamcourse.version.image.TenantRule;
import org.streamcourse.version.image.TermPosition;
import reactor.test.scheduler.VirtualTimeScheduler;

/**
 * A service of one primary and two replicas on a virtual clock, and a proxy's member table for it.
 * Records every command that a member receives.
 */
final class ScriptedService implements MemberDialer {
  static final String PRIMARY = "i-1";
  static final String FIRST_REPLICA = "i-2";
  static final String SECOND_REPLICA = "i-3";
  static final List<String> MEMBERS = List.of(PRIMARY, FIRST_REPLICA, SECOND_REPLICA);
  static final long FIRST_WORK_MILLIS = 20;
  static final int CONNECTIONS = 11;
  static final int SLOTS = 3;
  static final TermPosition PRIMARY_POSITION = new TermPosition(1, 100);

  private static final String SERVICE = "s";
  private static final long TIMEOUT_MILLIS = 800;
  static final long TARGET_MILLIS = 1_000;
  private static final long STALENESS_MILLIS = 2_500;

  final VirtualTimeScheduler clock = VirtualTimeScheduler.create();
  final Worker worker = SchedulerWorker.onSchedulerClock(clock);
  final MemberTable table = new MemberTable(worker, this, MemberRelay.NONE, node(1));
  final Map<String, List<MemberCommand>> commands = new TreeMap<>();
  final List<Answer> answers = new ArrayList<>();
  final List<MemberLink> opened = new ArrayList<>();
  long workMillis = FIRST_WORK_MILLIS;

  /** Time after which a begin command is answered. */
  long beginMillis = 1;

  /** Tenant of the connection over which each statement ran, by statement id. */
  final Map<String, TenantId> ranFor = new TreeMap<>();

  /** Replication lag by member. */
  final Map<String, Long> lagMillis = new TreeMap<>();

  /** Members that run statements and never answer them, but accept connections and transactions. */
  final Set<String> hung = new HashSet<>();

  /** Number of BEHIND answers of all members. */
  int behind;

  /** Time from the start of each statement to its answer. */
  final List<Long> tookMillis = new ArrayList<>();

  private final Map<String, Long> shownPosition = new TreeMap<>();
  private final List<Long> commitMillis = new ArrayList<>();

  /** Greatest number of connections that one member has had at once. */
  int mostAtOnce;

  /** Tenant of the statements that are started. */
  TenantId tenant = new TenantId("t");

  private final Map<String, Integer> openConnections = new TreeMap<>();
  private final Set<Channel> introducedChannels = new LinkedHashSet<>();
  private Map<String, Integer> mostConnections = Map.of();

  /** Whether members accept no more connections, as after a power loss of all nodes. */
  private boolean full;

  private final Map<Integer, String> ports =
      Map.of(1, PRIMARY, 2, FIRST_REPLICA, 3, SECOND_REPLICA);
  private final RequestLog log = new RequestLog(new LineBudget(0, worker::now), 0);

  ScriptedService() {
    registerMembers();
    pass(50);
  }

  /** Returns a node of the fleet; all nodes are in the zone of the members. */
  static NodeImage node(int number) {
    String host = "10.0.1." + number;
    return new NodeImage(host + ":1", 1, host, 1, new Placement("r", "z"), false);
  }

  /** If true, members accept a new connection only after one has ended; if false, any number. */
  void setFull(boolean value) {
    full = value;
    mostConnections = new TreeMap<>(openConnections);
  }

  private boolean hasRoom(String member) {
    int open = openConnections.getOrDefault(member, 0);
    return !full || open < mostConnections.getOrDefault(member, 0);
  }

  /** Closes the connections of a member, which still runs the statements that it has received. */
  void breakConnections(String member) {
    List<Channel> broken =
        introducedChannels.stream().filter(each -> each.member.equals(member)).toList();
    broken.forEach(Channel::close);
    broken.forEach(each -> each.listener.closed("the connection was reset"));
  }

  /** Makes all open connections silent: nothing sent on them arrives any more; new ones work. */
  void silenceConnections() {
    introducedChannels.forEach(each -> each.silent = true);
  }

  /** Starts a read-write transaction, which is added to {@link #opened}. */
  void begin(String id) {
    StatementRequest request =
        new StatementRequest(new StatementId(id), "BEGIN", new Statement.Begin(false));
    start(request, StatementPlan.PRIMARY_TRANSACTION);
  }

  /** Returns the node's links to a member. */
  MemberLinks linksTo(String member) {
    return table.service(SERVICE).links(new MemberId(member));
  }

  /** Removes all members from the image. */
  void removeMembers() {
    table.update(withoutMembers());
  }

  /** Registers the members again; their links must be opened anew. */
  void registerMembers() {
    table.update(image());
  }

  /** With a tenant in the document, one holder owns most connections of a member. */
  private static final TenantRule TENANT =
      new TenantRule(new TenantId("t"), List.of(), 1, TenantRule.UNLIMITED, 0);

  private static ClusterImage withoutMembers() {
    RoutingDocument document =
        new RoutingDocument(
            1,
            List.of(route(RouteConsistency.SESSION)),
            List.of(new ServiceRules(SERVICE, CONNECTIONS, 0)),
            SessionLimits.DEFAULT,
            List.of(TENANT),
            "");
    return ClusterImage.EMPTY.apply(new ClusterChange.DocumentReplaced(document));
  }

  /** Returns an image with the members and a number of nodes. */
  static ClusterImage image(int nodes) {
    ClusterImage image = image();
    for (int number = 1; number <= nodes; number++) {
      image = image.apply(new ClusterChange.NodeAdmitted(node(number)));
    }
    return image;
  }

  private static ClusterImage image() {
    ClusterImage image = withoutMembers();
    for (int port = 1; port <= 3; port++) {
      RegisteredMember member =
          new RegisteredMember(new MemberId("i-" + port), "10.0.0.1", port, "z", SLOTS, false);
      image = image.apply(new ClusterChange.MemberRegistered(SERVICE, member));
    }
    return image.apply(new ClusterChange.PrimaryObserved(SERVICE, new MemberId(PRIMARY), 0));
  }

  static RouteRule route(RouteConsistency consistency) {
    return new RouteRule(
        "d", SERVICE, consistency, TIMEOUT_MILLIS, TARGET_MILLIS, 1, 2, STALENESS_MILLIS, true);
  }

  void pass(long millis) {
    clock.advanceTimeBy(Duration.ofMillis(millis));
  }

  /** Starts a read of a session that has not committed anything. */
  void read(String id) {
    StatementRequest request =
        new StatementRequest(new StatementId(id), "READ x", new Statement.Read());
    start(request, StatementPlan.ANY_READ);
  }

  /** Starts a single write. */
  void write(String id) {
    StatementRequest request =
        new StatementRequest(new StatementId(id), "WRITE x y", new Statement.Write());
    start(request, StatementPlan.WRITE);
  }

  private void start(StatementRequest request, StatementPlan plan) {
    start(table, request, plan);
  }

  /** Starts a statement at a node with another table. */
  void start(MemberTable ofNode, StatementRequest request, StatementPlan plan) {
    StatementContext context =
        new StatementContext(
            request,
            route(RouteConsistency.SESSION),
            tenant,
            null,
            Map.of(),
            TermPosition.ZERO,
            "");
    long startedMillis = worker.now();
    ExecutionListener listener =
        new ExecutionListener() {
          @Override
          public void finished(Answer answer) {
            answers.add(answer);
            tookMillis.add(worker.now() - startedMillis);
          }

          @Override
          public void transactionOpened(MemberLinks links, MemberLink link) {
            opened.add(link);
          }
        };
    new StatementExecution(worker, ofNode, log, context, plan, listener).start();
  }

  /** Returns how often a member did not run a statement or failed a read. */
  long reroutes() {
    return log.reroutes();
  }

  /** Log position of a member: each write at the primary is a commit, which replicas get later. */
  private TermPosition position(String member) {
    long visible = worker.now() - lagMillis.getOrDefault(member, 0L);
    long commits = commitMillis.stream().filter(each -> each <= visible).count();
    // The position of a member whose lag grows stays the same for a while.
    long position = shownPosition.merge(member, PRIMARY_POSITION.position() + commits, Math::max);
    return new TermPosition(PRIMARY_POSITION.term(), position);
  }

  private static TermPosition floorOf(MemberCommand command) {
    if (command instanceof MemberCommand.Run run) {
      return run.floor();
    }
    return command instanceof MemberCommand.BeginTransaction begin ? begin.floor() : null;
  }

  long count(String member, Class<? extends MemberCommand> kind) {
    return commands.getOrDefault(member, List.of()).stream().filter(kind::isInstance).count();
  }

  long completed() {
    return completed("");
  }

  /** Returns the number of completed statements whose id contains a text. */
  long completed(String part) {
    return answers.stream().filter(each -> each.isComplete() && each.text().contains(part)).count();
  }

  @Override
  public void dial(String host, int port, MemberChannel.Listener listener) {
    worker.schedule(1, () -> listener.connected(new Channel(ports.get(port), listener)));
  }

  /** Answers commands in order: a statement after its work, other commands after a millisecond. */
  private final class Channel implements MemberChannel {
    private final String member;
    private final Listener listener;
    private SessionState state = SessionState.IDLE;
    private long busyUntil;
    private boolean closed;
    private boolean silent;
    private boolean introduced;
    private TenantId tenant = TenantId.NONE;

    Channel(String member, Listener listener) {
      this.member = member;
      this.listener = listener;
    }

    @Override
    public void send(MemberCommand command) {
      if (silent) {
        return;
      }
      commands.computeIfAbsent(member, any -> new ArrayList<>()).add(command);
      busyUntil = Math.max(worker.now(), busyUntil) + workMillis(command);
      worker.schedule(busyUntil - worker.now(), () -> answer(command));
    }

    private long workMillis(MemberCommand command) {
      if (command instanceof MemberCommand.Run) {
        return workMillis;
      }
      return command instanceof MemberCommand.BeginTransaction ? beginMillis : 1;
    }

    private void answer(MemberCommand command) {
      if (closed || silent) {
        return;
      }
      if (command instanceof MemberCommand.Introduce && !hasRoom(member)) {
        listener.answered(Answer.error(AnswerCode.TOO_MANY_CONNECTIONS, member, state));
        return;
      }
      if (command instanceof MemberCommand.Introduce introduce) {
        introduced = true;
        introducedChannels.add(this);
        openConnections.merge(member, 1, Integer::sum);
        tenant = introduce.tenant();
      }
      TermPosition floor = floorOf(command);
      if (floor != null && !position(member).reaches(floor)) {
        behind++;
        listener.answered(answer(AnswerCode.BEHIND, command));
        return;
      }
      recordTenant(command);
      if (command instanceof MemberCommand.Run && hung.contains(member)) {
        return;
      }
      if (command instanceof MemberCommand.Run run && run.text().startsWith("WRITE")) {
        commitMillis.add(worker.now());
      }
      if (command instanceof MemberCommand.BeginTransaction begin) {
        if (!begin.readOnly() && !member.equals(PRIMARY)) {
          listener.answered(Answer.error(AnswerCode.READ_ONLY, member, state));
          return;
        }
        state = SessionState.TRANSACTION;
      } else if (command instanceof MemberCommand.RollBack) {
        state = SessionState.IDLE;
      }
      listener.answered(answer(AnswerCode.COMPLETE, command));
    }

    private Answer answer(AnswerCode code, MemberCommand command) {
      return new Answer(List.of(), code, signature(command), state, position(member));
    }

    private void recordTenant(MemberCommand command) {
      if (command instanceof MemberCommand.Run run) {
        ranFor.put(run.id().value(), tenant);
        mostAtOnce = Math.max(mostAtOnce, openConnections.get(member));
      }
    }

    private static String signature(MemberCommand command) {
      return command instanceof MemberCommand.Run run ? "signed " + run.id() : Answer.NO_SIGNATURE;
    }

    @Override
    public void flush() {
      // Commands are sent at once.
    }

    @Override
    public void close() {
      if (introduced && !closed) {
        openConnections.merge(member, -1, Integer::sum);
        introducedChannels.remove(this);
      }
      closed = true;
    }
  }
}
