package org.streamcourse.connection.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamcourse.connection.member.MemberLinks;
import org.streamcourse.connection.member.MemberObservation;
import org.streamcourse.connection.peer.PeerNetwork;
import org.streamcourse.process.Worker;
import org.streamcourse.request.routing.RequestLog;
import org.streamcourse.version.image.MemberId;

/**
 * Server side of a relay, at a holder: runs other nodes' statements over this node's own links to
 * members.
 *
 * <p>All methods run on the proxy's worker.
 */
public final class RelayServer {
  private static final Logger LOG = LoggerFactory.getLogger(RelayServer.class);

  /**
   * Time beyond the idle timeout of transactions after which the sender of a stream counts as lost.
   * The sender itself ends an idle transaction, and its message needs some time to arrive.
   */
  private static final long SENDER_GRACE_MILLIS = 1_500;

  /**
   * Time for which a node that opened a stream is sent observations of members. With 86 nodes, 6
   * databases and 4 holders per member, a node opens a stream at a given holder every 12 s.
   */
  private static final long OBSERVER_RETENTION_MILLIS = 30_000;

  static final String STOPPING = "the node is stopping";

  /** Finds this node's own links. */
  public interface Links {
    /**
     * Finds the links to a member.
     *
     * @param service service of the member
     * @param member the member
     * @param fallback whether this node acts as a fallback holder of the member
     * @return links, or null when this node holds no connections to the member
     */
    MemberLinks held(String service, MemberId member, boolean fallback);
  }

  private final Worker worker;
  private final PeerNetwork network;
  private final Links links;
  private final LongSupplier maxIdleMillis;
  private final RequestLog log;
  private final Map<String, Map<Long, RelayedWork>> streams = new TreeMap<>();
  private final Map<String, Long> senders = new TreeMap<>();
  private boolean stopping;
  private boolean refusesSteps;

  /**
   * Creates a server without streams.
   *
   * @param worker the proxy's worker
   * @param network sends messages to other nodes
   * @param links finds this node's links to members
   * @param maxIdleMillis idle timeout of transactions
   * @param log logs decisions about statements
   */
  public RelayServer(
      Worker worker, PeerNetwork network, Links links, LongSupplier maxIdleMillis, RequestLog log) {
    this.worker = worker;
    this.network = network;
    this.links = links;
    this.maxIdleMillis = maxIdleMillis;
    this.log = log;
  }

  /** Refuses new streams from now on, so that senders use other holders. */
  public void stopAccepting() {
    stopping = true;
  }

  /**
   * Refuses further steps of open transactions from now on, because the process exits soon; running
   * steps are still answered.
   */
  public void refuseSteps() {
    refusesSteps = true;
  }

  /** Ends all streams, because the process is about to exit. */
  public void endStreams() {
    List<RelayedWork> open = new ArrayList<>();
    streams.values().forEach(ofSender -> open.addAll(ofSender.values()));
    open.forEach(work -> work.stop(STOPPING));
  }

  /** Returns whether steps that arrive now are refused. */
  boolean refusesSteps() {
    return refusesSteps;
  }

  /**
   * Returns the number of streams.
   *
   * @return streams that are waiting, running a step or in a transaction
   */
  public int streams() {
    return streams.values().stream().mapToInt(Map::size).sum();
  }

  /**
   * Handles a message of a node that relays callers' statements.
   *
   * @param sender name of the node
   * @param message what arrived
   */
  public void receive(String sender, RelayMessage message) {
    if (message instanceof RelayMessage.Open open) {
      open(sender, open);
    } else if (message instanceof RelayMessage.Continue next) {
      RelayedWork work = find(sender, next.stream());
      if (work == null) {
        send(sender, new RelayMessage.Ended(next.stream(), "the stream has ended here"));
      } else {
        work.continueWith(next.values(), next.steps());
      }
    } else if (message instanceof RelayMessage.Close close) {
      RelayedWork work = find(sender, close.stream());
      if (work != null) {
        work.abandon("closed by its sender");
      }
      // Also keeps the peer link alive: a sender without any message takes the link for stuck.
      send(sender, new RelayMessage.Ended(close.stream(), "closed by its sender"));
    } else if (message instanceof RelayMessage.Withdraw withdrawn) {
      withdraw(find(sender, withdrawn.stream()));
    } else if (message instanceof RelayMessage.Ping) {
      send(sender, new RelayMessage.Pong());
    }
  }

  /**
   * Sends an observation of a member to the nodes that recently opened streams here.
   *
   * @param service service of the member
   * @param member the member
   * @param observation state of the member as this node observes it
   */
  public void sendObservation(String service, MemberId member, MemberObservation observation) {
    long now = worker.now();
    senders.values().removeIf(opened -> now - opened > OBSERVER_RETENTION_MILLIS);
    senders
        .keySet()
        .forEach(name -> send(name, new RelayMessage.News(service, member, observation)));
  }

  private void open(String sender, RelayMessage.Open open) {
    senders.put(sender, worker.now());
    MemberLinks held = stopping ? null : links.held(open.service(), open.member(), open.standIn());
    if (held == null) {
      String cause = stopping ? STOPPING : "the node holds no connections to the member";
      refuse(sender, open, RelayMessage.Refusal.NOT_HELD, cause, 0, null);
      return;
    }
    RelayedWork work = new RelayedWork(this, sender, open, held);
    streams.computeIfAbsent(sender, any -> new HashMap<>()).put(open.stream(), work);
    work.start();
  }

  /** Refuses a stream of which the member has run nothing. */
  void refuse(
      String sender,
      RelayMessage.Open open,
      RelayMessage.Refusal refusal,
      String cause,
      long retryAfterMillis,
      MemberObservation observation) {
    log.refusedForOther(open, sender, cause);
    send(
        sender,
        new RelayMessage.Refused(open.stream(), refusal, cause, retryAfterMillis, observation));
  }

  /** Logs that the next step of an open transaction is refused. */
  void refusedStep(String sender, RelayMessage.Open open) {
    log.refusedForOther(open, sender, STOPPING);
  }

  /** Logs that a stream ended while an answer was outstanding. */
  void endedUnanswered(String sender, RelayMessage.Open open, boolean hadLink, String cause) {
    log.endedUnanswered(open, sender, hadLink, cause);
  }

  private RelayedWork find(String sender, long stream) {
    return streams.getOrDefault(sender, Map.of()).get(stream);
  }

  // ---- used by RelayedWork ----

  void send(String sender, RelayMessage message) {
    network.send(sender, message);
  }

  void removeStream(String sender, long stream) {
    Map<Long, RelayedWork> ofSender = streams.get(sender);
    if (ofSender != null) {
      ofSender.remove(stream);
    }
  }

  long now() {
    return worker.now();
  }

  void schedule(long millis, Runnable task) {
    worker.schedule(millis, task);
  }

  // ---- lost senders ----

  /**
   * Handles the loss of the peer link to a sender: its streams are abandoned and their open
   * transactions rolled back.
   *
   * @param sender name of the node
   */
  public void linkLost(String sender) {
    Map<Long, RelayedWork> lost = streams.remove(sender);
    if (lost != null) {
      lost.values().forEach(work -> abandon(work, "the peer link to the sender was lost"));
    }
  }

  /** Abandons streams that were idle for too long; to be called regularly. */
  public void check() {
    long longest = maxIdleMillis.getAsLong() + SENDER_GRACE_MILLIS;
    List<RelayedWork> expired = new ArrayList<>();
    for (Map<Long, RelayedWork> ofSender : streams.values()) {
      ofSender.values().stream().filter(work -> work.idleMillis() > longest).forEach(expired::add);
    }
    for (RelayedWork work : expired) {
      LOG.info(
          "relayed stream of {} is abandoned: idle for more than {} ms", work.sender(), longest);
      abandon(work, "the transaction was idle for too long");
    }
  }

  private void withdraw(RelayedWork work) {
    if (work != null && !work.hasLink()) {
      abandon(work, "withdrawn by its sender");
    }
  }

  /** Ends work while answers may be outstanding, and tells its sender. */
  void abandon(RelayedWork work, String cause) {
    work.abandon(cause);
    send(work.sender(), new RelayMessage.Ended(work.stream(), cause));
  }
}
