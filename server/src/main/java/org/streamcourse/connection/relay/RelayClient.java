package org.streamcourse.connection.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.function.LongConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamcourse.connection.member.LinkRequest;
import org.streamcourse.connection.member.MemberChannel;
import org.streamcourse.connection.member.MemberRelay;
import org.streamcourse.connection.peer.PeerNetwork;
import org.streamcourse.process.Worker;

/**
 * Client side of a relay, at the node that has the callers' statements: sends work to holders, and
 * tracks by their responses which holders are available.
 *
 * <p>No work is sent to a holder before the holder has responded on its present peer link, so work
 * that is still waiting has certainly not run. A holder with an unanswered request and no recent
 * message gets a {@link RelayMessage.Ping}; if it doesn't answer that either, it is suspected: its
 * outstanding work is in doubt, and other holders are used until it responds again.
 *
 * <p>All methods run on the proxy's worker.
 */
public final class RelayClient implements MemberRelay {
  private static final Logger LOG = LoggerFactory.getLogger(RelayClient.class);

  /**
   * Time without a message from a holder with an unanswered request after which it gets a ping;
   * most statements are answered sooner, so few pings are needed.
   */
  private static final long PING_AFTER_MILLIS = 200;

  /** Timeout for the answer to a ping; covers latency between regions and a busy holder. */
  private static final long PONG_TIMEOUT_MILLIS = 250;

  /** Time between pings to a suspected holder. */
  private static final long SUSPECT_PING_INTERVAL_MILLIS = 300;

  /** Maximum number of holders tried for one unit of work. */
  private static final int MAX_HOLDERS = 3;

  /** Minimum time between pings to all known holders. */
  private static final long PING_OTHERS_INTERVAL_MILLIS = 500;

  private static final long NOT_PINGED = -1;

  /** State of one holder as observed by this node. */
  private static final class Holder {
    private final Map<Long, RelayChannel> streams = new HashMap<>();
    private long lastMessageMillis;
    private long pingedMillis = NOT_PINGED;
    private boolean established;
    private boolean suspected;
  }

  private final Worker worker;
  private final PeerNetwork network;
  private final Map<String, Holder> holders = new TreeMap<>();
  private long lastStream;
  private long othersPingedMillis = -PING_OTHERS_INTERVAL_MILLIS;
  private ObservationListener observationListener = (service, member, observation) -> {};

  /**
   * Creates a client without streams.
   *
   * @param worker the proxy's worker
   * @param network sends messages to holders
   * @param lastStream number below those of this incarnation's streams; far from those of other
   *     incarnations of this node, so that late answers to these are not matched
   */
  public RelayClient(Worker worker, PeerNetwork network, long lastStream) {
    this.worker = worker;
    this.network = network;
    this.lastStream = lastStream;
  }

  @Override
  public MemberChannel open(
      Target target, LinkRequest request, MemberChannel.Listener listener, LongConsumer backOff) {
    List<String> candidates = usable(inOrder(target, request));
    boolean fallback = candidates.isEmpty();
    if (fallback) {
      candidates = usableFallbackHolders(target.fallbackHolders());
    }
    return candidates.isEmpty()
        ? null
        : new RelayChannel(this, target, candidates, request, listener, backOff, fallback);
  }

  /** Returns the holders in order of preference: the owner first, equal holders by tenant. */
  private static List<String> inOrder(Target target, LinkRequest request) {
    return target.owned()
        ? target.holders()
        : HolderOrder.of(target.holders(), target.member(), request.tenant());
  }

  @Override
  public void setObservationListener(ObservationListener listener) {
    observationListener = listener;
  }

  private List<String> usable(List<String> names) {
    List<String> usable = new ArrayList<>(MAX_HOLDERS);
    for (String name : names) {
      if (usable.size() < MAX_HOLDERS && !holder(name).suspected) {
        usable.add(name);
      }
    }
    return usable;
  }

  /**
   * Returns fallback holders, those that have responded first; pings all, since most may be down.
   */
  private List<String> usableFallbackHolders(List<String> names) {
    names.forEach(this::sendPing);
    List<String> responsive = names.stream().filter(name -> holder(name).established).toList();
    List<String> usable = usable(responsive);
    return usable.isEmpty() ? usable(names) : usable;
  }

  private Holder holder(String name) {
    return holders.computeIfAbsent(name, any -> new Holder());
  }

  // ---- for channels ----

  /** Registers a channel at a holder; returns its stream number. */
  long register(String name, RelayChannel channel) {
    lastStream++;
    Holder holder = holder(name);
    if (holder.streams.isEmpty()) {
      holder.lastMessageMillis = worker.now();
    }
    holder.streams.put(lastStream, channel);
    return lastStream;
  }

  void send(String name, RelayMessage message) {
    network.send(name, message);
  }

  /** Returns whether a holder has responded on its present peer link; pings it if it has not. */
  boolean isEstablished(String name) {
    Holder holder = holder(name);
    if (!holder.established && holder.pingedMillis == NOT_PINGED) {
      ping(name, holder);
    }
    return holder.established;
  }

  /**
   * Sends a ping to a node, unless one is outstanding.
   *
   * @param name name of the node
   */
  public void sendPing(String name) {
    Holder holder = holder(name);
    if (holder.pingedMillis == NOT_PINGED) {
      ping(name, holder);
    }
  }

  void removeStream(String name, long stream) {
    holder(name).streams.remove(stream);
  }

  long now() {
    return worker.now();
  }

  // ---- holders ----

  /**
   * Handles a holder's message.
   *
   * @param name name of the holder
   * @param message what arrived
   */
  public void receive(String name, RelayMessage message) {
    Holder holder = holder(name);
    holder.lastMessageMillis = worker.now();
    holder.pingedMillis = NOT_PINGED;
    if (holder.suspected) {
      holder.suspected = false;
      LOG.info("relay through {} is available again", name);
    }
    if (!holder.established) {
      holder.established = true;
      List.copyOf(holder.streams.values()).forEach(RelayChannel::holderResponded);
    }
    if (message instanceof RelayMessage.Answered answered) {
      RelayChannel channel = holder.streams.get(answered.stream());
      if (channel != null) {
        channel.answered(answered);
      }
    } else if (message instanceof RelayMessage.Refused refused) {
      RelayChannel channel = holder.streams.remove(refused.stream());
      if (channel != null) {
        channel.refused(refused);
      }
    } else if (message instanceof RelayMessage.Ended ended) {
      RelayChannel channel = holder.streams.remove(ended.stream());
      if (channel != null) {
        channel.lost(ended.cause());
      }
    } else if (message instanceof RelayMessage.News news) {
      observationListener.onObservation(news.service(), news.member(), news.observation());
    }
  }

  /**
   * Handles the loss of the peer link to a holder; work that was sent to the holder is in doubt.
   *
   * @param name name of the holder
   */
  public void linkLost(String name) {
    Holder holder = holders.get(name);
    if (holder != null) {
      failStreams(holder, "the peer link to " + name + " was lost");
    }
  }

  /**
   * Handles that no peer link to a holder could be established. Work that was dropped or not yet
   * sent goes to another holder; work that was sent on an earlier link is handled by {@link
   * #linkLost}.
   *
   * @param name name of the holder
   * @param messages dropped messages
   */
  public void undelivered(String name, List<Object> messages) {
    Holder holder = holders.get(name);
    if (holder == null) {
      return;
    }
    suspect(name, holder, "no peer link could be established");
    holder.established = false;
    List<RelayChannel> unsent = new ArrayList<>();
    for (Object message : messages) {
      if (message instanceof RelayMessage.Open open) {
        unsent.add(holder.streams.remove(open.stream()));
      } else if (message instanceof RelayMessage.Continue next) {
        failStream(holder, next.stream(), "no peer link to " + name);
      }
    }
    holder.streams.values().stream().filter(each -> !each.mayHaveRun()).forEach(unsent::add);
    holder.streams.values().removeAll(unsent);
    unsent.stream()
        .filter(Objects::nonNull)
        .forEach(each -> each.notDelivered("no peer link to " + name));
  }

  private static void failStream(Holder holder, long stream, String cause) {
    RelayChannel channel = holder.streams.remove(stream);
    if (channel != null) {
      channel.lost(cause);
    }
  }

  /** Pings or suspects unresponsive holders; to be called a few times per second. */
  public void check() {
    long now = worker.now();
    List<String> unresponsive = new ArrayList<>();
    for (Map.Entry<String, Holder> each : holders.entrySet()) {
      if (isUnresponsive(each.getValue(), now)) {
        unresponsive.add(each.getKey());
      }
    }
    // In a second loop, since failing their streams may add holders to the map.
    unresponsive.forEach(this::pingOrSuspect);
  }

  private static boolean isUnresponsive(Holder holder, long now) {
    if (holder.suspected) {
      return now - holder.pingedMillis >= SUSPECT_PING_INTERVAL_MILLIS;
    }
    if (holder.pingedMillis != NOT_PINGED) {
      return now - holder.pingedMillis >= PONG_TIMEOUT_MILLIS;
    }
    return !holder.streams.isEmpty() && unansweredSince(holder) < now - PING_AFTER_MILLIS;
  }

  private void pingOrSuspect(String name) {
    Holder holder = holder(name);
    if (holder.suspected
        && unansweredSince(holder) < worker.now() - PING_AFTER_MILLIS - PONG_TIMEOUT_MILLIS) {
      failStreams(holder, "the node " + name + " does not respond");
    }
    if (holder.suspected || holder.pingedMillis == NOT_PINGED) {
      ping(name, holder);
      return;
    }
    suspect(name, holder, "no message for " + (worker.now() - holder.lastMessageMillis) + " ms");
    failStreams(holder, "the node " + name + " does not respond");
    pingOthers();
  }

  /** Pings the other holders, since nodes often fail together, before more work is sent there. */
  private void pingOthers() {
    long now = worker.now();
    if (now - othersPingedMillis < PING_OTHERS_INTERVAL_MILLIS) {
      return;
    }
    othersPingedMillis = now;
    holders.forEach(
        (name, holder) -> {
          if (now - holder.lastMessageMillis > PING_AFTER_MILLIS) {
            sendPing(name);
          }
        });
  }

  /** Returns since when a holder with an unanswered step has sent nothing, or MAX_VALUE. */
  private static long unansweredSince(Holder holder) {
    long oldest = Long.MAX_VALUE;
    for (RelayChannel channel : holder.streams.values()) {
      oldest = Math.min(oldest, channel.unansweredSinceMillis());
    }
    return oldest == Long.MAX_VALUE ? oldest : Math.max(oldest, holder.lastMessageMillis);
  }

  private void ping(String name, Holder holder) {
    holder.pingedMillis = worker.now();
    network.send(name, new RelayMessage.Ping());
  }

  private void suspect(String name, Holder holder, String cause) {
    if (!holder.suspected) {
      holder.suspected = true;
      holder.pingedMillis = worker.now();
      LOG.warn("relay through {} is suspected: {}", name, cause);
    }
  }

  private static void failStreams(Holder holder, String cause) {
    holder.established = false;
    holder.pingedMillis = holder.suspected ? holder.pingedMillis : NOT_PINGED;
    List<RelayChannel> lost = List.copyOf(holder.streams.values());
    holder.streams.clear();
    lost.forEach(channel -> channel.lost(cause));
  }
}
