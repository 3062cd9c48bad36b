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
 * The side of a relay that holds connections: brings other nodes' statements to members over this
 * node's own links.
 *
 * <p>All methods run on the proxy's worker.
 */
public final class RelayServer {
  private static final Logger LOG = LoggerFactory.getLogger(RelayServer.class);

  /**
   * Time beyond the longest rest of a transaction after which a stream's sender counts as gone; the
   * sender itself ends a transaction that rests too long, and its word needs some time to come.
   */
  private static final long GONE_MILLIS = 1_500;

  /**
   * Time for which a sender is sent observations of members. With 86 nodes, 6 databases and 4
   * holders of each member, a node asks a given holder every 12 s.
   */
  private static final long SENDER_KEPT_MILLIS = 30_000;

  /** This node's links. */
  public interface Links {
    /**
     * Finds the links to a member.
     *
     * @param service service of the member
     * @param member the member
     * @param standIn whether this node shall stand in for the member's holders
     * @return links, or null when this node holds none
     */
    MemberLinks held(String service, MemberId member, boolean standIn);
  }

  private final Worker worker;
  private final PeerNetwork network;
  private final Links links;
  private final LongSupplier longestRestMillis;
  private final RequestLog log;
  private final Map<String, Map<Long, RelayedWork>> streams = new TreeMap<>();
  private final Map<String, Long> senders = new TreeMap<>();
  private boolean stopping;

  /**
   * Creates a server without streams.
   *
   * @param worker the proxy's worker
   * @param network way to the other nodes
   * @param links finds this node's links to members
   * @param longestRestMillis time that a transaction may rest
   * @param log tells what is decided about statements
   */
  public RelayServer(
      Worker worker,
      PeerNetwork network,
      Links links,
      LongSupplier longestRestMillis,
      RequestLog log) {
    this.worker = worker;
    this.network = network;
    this.links = links;
    this.longestRestMillis = longestRestMillis;
    this.log = log;
  }

  /** Takes no new streams from now on; senders go to other holders. */
  public void stopTaking() {
    stopping = true;
  }

  /**
   * Returns the number of streams.
   *
   * @return streams that are waiting, working or within a transaction
   */
  public int streams() {
    return streams.values().stream().mapToInt(Map::size).sum();
  }

  /**
   * Handles a message of a node that has callers' statements.
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
        work.goOn(next.values(), next.steps());
      }
    } else if (message instanceof RelayMessage.Close close) {
      RelayedWork work = find(sender, close.stream());
      if (work != null) {
        work.giveUp("closed by its sender");
      }
      // Also a sign of life: a sender that hears nothing takes the link for stuck.
      send(sender, new RelayMessage.Ended(close.stream(), "closed by its sender"));
    } else if (message instanceof RelayMessage.Withdraw withdrawn) {
      withdraw(find(sender, withdrawn.stream()));
    } else if (message instanceof RelayMessage.Ping) {
      send(sender, new RelayMessage.Pong());
    }
  }

  /**
   * Tells the nodes that lately had work for members here what is known of one.
   *
   * @param service service of the member
   * @param member the member
   * @param observation what is known
   */
  public void sendObservation(String service, MemberId member, MemberObservation observation) {
    long now = worker.now();
    senders.values().removeIf(opened -> now - opened > SENDER_KEPT_MILLIS);
    senders
        .keySet()
        .forEach(name -> send(name, new RelayMessage.News(service, member, observation)));
  }

  private void open(String sender, RelayMessage.Open open) {
    senders.put(sender, worker.now());
    MemberLinks held = stopping ? null : links.held(open.service(), open.member(), open.standIn());
    if (held == null) {
      String cause = stopping ? "the node stops" : "no connections to the member are held here";
      refuse(sender, open, RelayMessage.Refusal.NOT_HELD, cause, 0, null);
      return;
    }
    RelayedWork work = new RelayedWork(this, sender, open, held);
    streams.computeIfAbsent(sender, any -> new HashMap<>()).put(open.stream(), work);
    work.start();
  }

  /** Tells that the member was asked nothing. */
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

  /** Tells that a stream ends with an answer owed. */
  void endedUnanswered(String sender, RelayMessage.Open open, boolean hadLink, String cause) {
    log.endedUnanswered(open, sender, hadLink, cause);
  }

  private RelayedWork find(String sender, long stream) {
    return streams.getOrDefault(sender, Map.of()).get(stream);
  }

  // ---- for the work of one stream ----

  void send(String sender, RelayMessage message) {
    network.send(sender, message);
  }

  void forget(String sender, long stream) {
    Map<Long, RelayedWork> ofSender = streams.get(sender);
    if (ofSender != null) {
      ofSender.remove(stream);
    }
  }

  long now() {
    return worker.now();
  }

  void later(long millis, Runnable task) {
    worker.schedule(millis, task);
  }

  // ---- senders that are gone ----

  /**
   * The link to a sender broke: its streams are given up, and what is open in them is rolled back.
   *
   * @param sender name of the node
   */
  public void linkLost(String sender) {
    Map<Long, RelayedWork> lost = streams.remove(sender);
    if (lost != null) {
      lost.values().forEach(work -> giveUp(work, "the link between the nodes broke"));
    }
  }

  /** Gives up the streams of senders that rest for longer than they may; to be called regularly. */
  public void check() {
    long longest = longestRestMillis.getAsLong() + GONE_MILLIS;
    List<RelayedWork> gone = new ArrayList<>();
    for (Map<Long, RelayedWork> ofSender : streams.values()) {
      ofSender.values().stream().filter(work -> work.restsFor() > longest).forEach(gone::add);
    }
    for (RelayedWork work : gone) {
      LOG.info("relayed stream of {} is given up: silent for {} ms", work.sender(), longest);
      giveUp(work, "it rested too long");
    }
  }

  private void withdraw(RelayedWork work) {
    if (work != null && !work.hasLink()) {
      giveUp(work, "withdrawn by its sender");
    }
  }

  private void giveUp(RelayedWork work, String cause) {
    work.giveUp(cause);
    send(work.sender(), new RelayMessage.Ended(work.stream(), cause));
  }
}
