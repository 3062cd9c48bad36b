package org.streamcourse.process;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.streamcourse.connection.member.MemberChannel;
import org.streamcourse.connection.member.MemberCommand;
import org.streamcourse.connection.member.MemberDialer;
import org.streamcourse.connection.peer.PeerNetwork;
import org.streamcourse.connection.session.ClientChannel;
import org.streamcourse.connection.session.ClientMessage;
import org.streamcourse.connection.session.ClientSession;
import org.streamcourse.request.StreamTypes;
import org.streamcourse.request.quota.QuotaSettings;
import org.streamcourse.request.routing.RequestLog;
import org.streamcourse.request.statement.Answer;
import org.streamcourse.request.statement.AnswerCode;
import org.streamcourse.request.statement.SessionState;
import org.streamcourse.request.statement.Statement;
import org.streamcourse.request.statement.StatementId;
import org.streamcourse.request.statement.StatementRequest;
import org.streamcourse.version.control.ControlMessage.StoredImage;
import org.streamcourse.version.image.ClusterChange;
import org.streamcourse.version.image.ClusterImage;
import org.streamcourse.version.image.KeyDigest;
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
 * A statement proxy on a virtual clock, before services of one primary and one replica each, and
 * callers with sessions at it. Statements have their meaning in their texts: READ, WRITE, BEGIN,
 * BEGIN READ, COMMIT and ROLLBACK.
 */
final class ScriptedProxy implements MemberDialer {
  static final String SELF = "10.0.0.2:1";
  static final long STALENESS_MILLIS = 1_500;

  private static final KeyDigest KEY = KeyDigest.of(new byte[] {1});
  private static final String CONTROLLER = "10.0.0.1:1";

  /** Node from which the images come; no controller is reachable. */
  private static final String IMAGE_SOURCE = "10.0.0.9:1";

  /** Longer than a stop. */
  private static final SessionLimits LIMITS = new SessionLimits(30_000);

  static final int SLOTS = 2;
  private static final int CONNECTIONS = 20;
  private static final Placement PLACEMENT = new Placement("r", "z");

  final VirtualTimeScheduler clock = VirtualTimeScheduler.create();
  final Worker worker = SchedulerWorker.onSchedulerClock(clock);
  final StatementProxyNode node;

  /** Time that a read, write or commit takes at a member. */
  long workMillis = 5;

  private final Map<Integer, Member> membersByPort = new TreeMap<>();
  private final Map<String, Member> members = new TreeMap<>();
  private List<TenantRule> tenants = List.of();
  private ClusterImage image = ClusterImage.EMPTY;
  private long documentVersion;

  ScriptedProxy() {
    this(SELF, (peer, message) -> {});
  }

  ScriptedProxy(String name, PeerNetwork network) {
    NodeImage self =
        new NodeImage(name, 1, name.substring(0, name.indexOf(':')), 1, PLACEMENT, false);
    node =
        new StatementProxyNode(
            worker,
            network,
            StreamTypes.codec(),
            List.of(CONTROLLER),
            self,
            this,
            new RequestLog(new LineBudget(1_000, worker::now), 0),
            0,
            QuotaSettings.DEFAULT);
    node.start();
    apply(new ClusterChange.NodeAdmitted(self));
  }

  // ---- configuration ----

  /** Adds a service with a primary and a replica whose logs end at a position of term 3. */
  void addService(String service, long position) {
    for (String kind : List.of("primary", "replica")) {
      int port = membersByPort.size() + 1;
      Member member = new Member(service, service + '-' + kind, kind.equals("primary"), position);
      membersByPort.put(port, member);
      members.put(member.name, member);
      apply(
          new ClusterChange.MemberRegistered(
              service,
              new RegisteredMember(
                  new MemberId(member.name), "10.0.1.1", port, "z", SLOTS, false)));
    }
    apply(new ClusterChange.PrimaryObserved(service, new MemberId(service + "-primary"), 0));
  }

  /**
   * Makes all callers one tenant and adds nodes in another region, so that this node owns the
   * connections to all members and assigns their slots.
   */
  void ownConnections() {
    for (int i = 1; i <= 2 * CONNECTIONS; i++) {
      String host = "10.0.3." + i;
      Placement far = new Placement("far", "far");
      apply(new ClusterChange.NodeAdmitted(new NodeImage(host + ":1", 1, host, 1, far, false)));
    }
    tenants = List.of(new TenantRule(new TenantId("t"), List.of(KEY), 1, TenantRule.UNLIMITED, 0));
  }

  /** Replaces the routes; the document has all services that they name. */
  void replaceRoutes(RouteRule... routes) {
    documentVersion++;
    List<ServiceRules> services =
        List.of(routes).stream()
            .map(RouteRule::service)
            .distinct()
            .map(service -> new ServiceRules(service, CONNECTIONS, 0))
            .toList();
    apply(
        new ClusterChange.DocumentReplaced(
            new RoutingDocument(documentVersion, List.of(routes), services, LIMITS, tenants, "")));
    pass(100);
  }

  static RouteRule route(
      String database, String service, RouteConsistency consistency, long timeoutMillis) {
    return new RouteRule(
        database, service, consistency, timeoutMillis, 400, 1, 2, STALENESS_MILLIS, false);
  }

  private void apply(ClusterChange change) {
    image = image.apply(change);
    node.receive(IMAGE_SOURCE, new StoredImage(image));
  }

  // ---- running ----

  void pass(long millis) {
    clock.advanceTimeBy(Duration.ofMillis(millis));
  }

  Member member(String name) {
    return members.get(name);
  }

  /** Opens the session of a caller. */
  Caller open(String database) {
    Caller caller = new Caller();
    caller.session = node.open(caller);
    caller.session.receive(new ClientMessage.Start(database, KEY));
    return caller;
  }

  /** A caller; records the answers to its statements and the end of its connection. */
  static final class Caller implements ClientChannel {
    final List<Answer> answers = new ArrayList<>();

    /** Error that came without a statement, or null. */
    Answer refusal;

    boolean closed;
    private ClientSession session;
    private int statements;

    /** Sends a statement without a wait for its answer. */
    void send(String text) {
      statements++;
      Statement statement =
          switch (text.split(" ")[0]) {
            case "BEGIN" -> new Statement.Begin(text.equals("BEGIN READ"));
            case "COMMIT" -> new Statement.Commit();
            case "ROLLBACK" -> new Statement.Rollback();
            case "WRITE" -> new Statement.Write();
            default -> new Statement.Read();
          };
      session.receive(
          new ClientMessage.Query(
              new StatementRequest(new StatementId("q" + statements), text, statement)));
    }

    /** Returns the number of statements without an answer. */
    int unanswered() {
      return statements - answers.size();
    }

    Answer last() {
      return answers.get(answers.size() - 1);
    }

    AnswerCode lastCode() {
      return last().code();
    }

    @Override
    public void welcome() {
      // Statements may be sent at once.
    }

    @Override
    public void answer(Answer answer) {
      if (closed) {
        throw new IllegalStateException("an answer after the end of the connection");
      }
      answers.add(answer);
    }

    @Override
    public void refuse(Answer error) {
      refusal = error;
      closed = true;
    }

    @Override
    public void close() {
      closed = true;
    }
  }

  // ---- members ----

  @Override
  public void dial(String host, int port, MemberChannel.Listener listener) {
    Member member = membersByPort.get(port);
    worker.schedule(1, () -> listener.connected(new Connection(member, listener)));
  }

  /** A member, its log, and the texts that it has run. */
  final class Member {
    final String name;
    final List<String> ran = new ArrayList<>();

    /** Newest floor of a read that the member has answered, or null. */
    TermPosition floor;

    private final String service;
    private final boolean primary;
    private final List<Connection> connections = new ArrayList<>();
    private long position;
    private boolean deaf;

    Member(String service, String name, boolean primary, long position) {
      this.service = service;
      this.name = name;
      this.primary = primary;
      this.position = position;
    }

    /** Ends all connections to the member. */
    void breakConnections() {
      List<Connection> broken = List.copyOf(connections);
      connections.clear();
      broken.forEach(Connection::breakOff);
    }

    /** Receives nothing of the log from now on. */
    void turnDeaf() {
      deaf = true;
    }

    TermPosition position() {
      return new TermPosition(3, position);
    }

    private void commit() {
      for (Member each : members.values()) {
        if (each.service.equals(service) && !each.deaf) {
          each.position++;
        }
      }
    }
  }

  /** A connection to a member; commands are answered in order. */
  private final class Connection implements MemberChannel {
    private final Member member;
    private final Listener listener;
    private SessionState state = SessionState.IDLE;
    private boolean wrote;
    private boolean closed;
    private long busyUntil;

    Connection(Member member, Listener listener) {
      this.member = member;
      this.listener = listener;
      member.connections.add(this);
    }

    private void breakOff() {
      closed = true;
      listener.closed("the connection was reset");
    }

    @Override
    public void send(MemberCommand command) {
      boolean works = command instanceof MemberCommand.Run;
      busyUntil = Math.max(busyUntil, worker.now()) + (works ? workMillis : 1);
      worker.schedule(busyUntil - worker.now(), () -> answer(command));
    }

    private static String signature(MemberCommand command) {
      return command instanceof MemberCommand.Run ? "signed" : Answer.NO_SIGNATURE;
    }

    private void answer(MemberCommand command) {
      if (closed) {
        return;
      }
      TermPosition floor = null;
      if (command instanceof MemberCommand.Run run) {
        floor = run.floor();
      } else if (command instanceof MemberCommand.BeginTransaction begin) {
        floor = begin.floor();
      }
      if (floor != null && !member.position().reaches(floor)) {
        listener.answered(Answer.error(AnswerCode.BEHIND, member.name, state));
        return;
      }
      if (command instanceof MemberCommand.BeginTransaction begin) {
        if (!begin.readOnly() && !member.primary) {
          listener.answered(Answer.error(AnswerCode.READ_ONLY, member.name, state));
          return;
        }
        state = SessionState.TRANSACTION;
      } else if (command instanceof MemberCommand.RollBack) {
        state = SessionState.IDLE;
        wrote = false;
      } else if (command instanceof MemberCommand.Run run) {
        member.ran.add(run.text());
        member.floor = run.floor();
        run(run.text());
      }
      listener.answered(
          new Answer(List.of(), AnswerCode.COMPLETE, signature(command), state, member.position()));
    }

    private void run(String text) {
      boolean writes = text.startsWith("WRITE");
      boolean commits = text.equals("COMMIT") ? wrote : writes && state == SessionState.IDLE;
      if (commits) {
        member.commit();
      }
      wrote = !text.equals("COMMIT") && (wrote || writes);
      state = text.equals("COMMIT") ? SessionState.IDLE : state;
    }

    @Override
    public void flush() {
      // Commands are sent at once.
    }

    @Override
    public void close() {
      closed = true;
    }
  }
}
