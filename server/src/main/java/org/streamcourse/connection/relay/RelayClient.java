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
 * The side of a relay that has the callers' statements: asks holders of connections, and judges by
 * their answers which of them can be asked.
 *
 * <p>Nothing is brought to a holder before it has spoken: what waits for that has certainly not
 * run. A holder that owes an answer and is silent gets a {@link RelayMessage.Ping}; one that does
 * not answer that either is suspected: what it was asked is lost, and others are asked instead
 * until it speaks again.
 *
 * <p>All methods run on the proxy's worker.
 */
public final class RelayClient implements MemberRelay {
  private static final Logger LOG = LoggerFactory.getLogger(RelayClient.class);

  /**
   * Silence of a holder that owes an answer, after which it is asked for a sign of life; most
   * statements are answered sooner, so few questions are needed.
   */
  private static final long SILENCE_MILLIS = 200;

  /** Time in which a sign of life comes: ways between regions, and a holder that is busy. */
  private static final long PONG_MILLIS = 250;

  /** Time between questions to a holder that is suspected. */
  private static final long SUSPECT_PING_MILLIS = 300;

  /** Holders that one unit of work is brought to, each only if the one before did not run it. */
  private static final int MOST_HOLDERS = 3;

  /** Least time between questions to all other nodes that were asked before. */
  private static final long ASK_OTHERS_MILLIS = 500;

  private static final long NOT_PINGED = -1;

  /** What this node knows of one holder. */
  private static final class Holder {
    private final Map<Long, RelayChannel> streams = new HashMap<>();
    private long heardMillis;
    private long pingedMillis = NOT_PINGED;
    private boolean established;
    private boolean suspected;
  }

  private final Worker worker;
  private final PeerNetwork network;
  private final Map<String, Holder> holders = new TreeMap<>();
  private long numbers;
  private long askedOthersMillis = -ASK_OTHERS_MILLIS;
  private ObservationListener observationListener = (service, member, observation) -> {};

  /**
   * Creates a client that asks nobody yet.
   *
   * @param worker the proxy's worker
   * @param network way to the holders
   * @param lastStream number below those of this run's streams; far from those of other runs of
   *     this node, whose late answers must not be taken for answers to this run
   */
  public RelayClient(Worker worker, PeerNetwork network, long lastStream) {
    this.worker = worker;
    this.network = network;
    this.numbers = lastStream;
  }

  @Override
  public MemberChannel open(
      Target target, LinkRequest request, MemberChannel.Listener listener, LongConsumer backOff) {
    List<String> asked = usable(inOrder(target, request));
    boolean standIn = asked.isEmpty();
    if (standIn) {
      asked = usableStandIns(target.fallbackHolders());
    }
    return asked.isEmpty()
        ? null
        : new RelayChannel(this, target, asked, request, listener, backOff, standIn);
  }

  /** An owner is asked first whoever the tenant is; equal holders by tenant. */
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
    List<String> usable = new ArrayList<>(MOST_HOLDERS);
    for (String name : names) {
      if (usable.size() < MOST_HOLDERS && !holder(name).suspected) {
        usable.add(name);
      }
    }
    return usable;
  }

  /**
   * Those that have spoken come first; all are asked for a sign of life, since most may be dark.
   */
  private List<String> usableStandIns(List<String> names) {
    names.forEach(this::sendPing);
    List<String> spoken = names.stream().filter(name -> holder(name).established).toList();
    List<String> usable = usable(spoken);
    return usable.isEmpty() ? usable(names) : usable;
  }

  private Holder holder(String name) {
    return holders.computeIfAbsent(name, any -> new Holder());
  }

  // ---- for channels ----

  /** Gives a channel a number at a holder. */
  long begin(String name, RelayChannel channel) {
    numbers++;
    Holder holder = holder(name);
    if (holder.streams.isEmpty()) {
      holder.heardMillis = worker.now();
    }
    holder.streams.put(numbers, channel);
    return numbers;
  }

  void send(String name, RelayMessage message) {
    network.send(name, message);
  }

  /** Whether a holder has spoken on its present link; asks it for a sign of life if it has not. */
  boolean isEstablished(String name) {
    Holder holder = holder(name);
    if (!holder.established && holder.pingedMillis == NOT_PINGED) {
      ping(name, holder);
    }
    return holder.established;
  }

  /**
   * Asks a node for a sign of life, unless an answer is awaited already.
   *
   * @param name name of the node
   */
  public void sendPing(String name) {
    Holder holder = holder(name);
    if (holder.pingedMillis == NOT_PINGED) {
      ping(name, holder);
    }
  }

  void forget(String name, long stream) {
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
    holder.heardMillis = worker.now();
    holder.pingedMillis = NOT_PINGED;
    if (holder.suspected) {
      holder.suspected = false;
      LOG.info("relay through {} works again", name);
    }
    if (!holder.established) {
      holder.established = true;
      List.copyOf(holder.streams.values()).forEach(RelayChannel::holderSpoke);
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
    } else if (message instanceof RelayMessage.News told) {
      observationListener.onObservation(told.service(), told.member(), told.observation());
    }
  }

  /**
   * The link to a holder broke; what was asked of it may or may not run.
   *
   * @param name name of the holder
   */
  public void linkLost(String name) {
    Holder holder = holders.get(name);
    if (holder != null) {
      loseStreams(holder, "the link to " + name + " broke");
    }
  }

  /**
   * No link to a holder came about. Work that was dropped, or not brought there yet, goes to
   * another one; work that was on an earlier link is judged by {@link #linkLost}.
   *
   * @param name name of the holder
   * @param messages what was dropped
   */
  public void undelivered(String name, List<Object> messages) {
    Holder holder = holders.get(name);
    if (holder == null) {
      return;
    }
    suspect(name, holder, "no link comes about");
    holder.established = false;
    List<RelayChannel> notBrought = new ArrayList<>();
    for (Object message : messages) {
      if (message instanceof RelayMessage.Open open) {
        notBrought.add(holder.streams.remove(open.stream()));
      } else if (message instanceof RelayMessage.Continue next) {
        loseStream(holder, next.stream(), "no link to " + name);
      }
    }
    holder.streams.values().stream().filter(each -> !each.mayHaveRun()).forEach(notBrought::add);
    holder.streams.values().removeAll(notBrought);
    notBrought.stream()
        .filter(Objects::nonNull)
        .forEach(each -> each.notDelivered("no link to " + name));
  }

  private static void loseStream(Holder holder, long stream, String cause) {
    RelayChannel channel = holder.streams.remove(stream);
    if (channel != null) {
      channel.lost(cause);
    }
  }

  /** Looks after the holders; to be called a few times a second. */
  public void check() {
    long now = worker.now();
    List<String> silent = new ArrayList<>();
    for (Map.Entry<String, Holder> each : holders.entrySet()) {
      if (isSilent(each.getValue(), now)) {
        silent.add(each.getKey());
      }
    }
    // Apart, since what is done about them may bring in further holders.
    silent.forEach(this::askOrSuspect);
  }

  private static boolean isSilent(Holder holder, long now) {
    if (holder.suspected) {
      return now - holder.pingedMillis >= SUSPECT_PING_MILLIS;
    }
    if (holder.pingedMillis != NOT_PINGED) {
      return now - holder.pingedMillis >= PONG_MILLIS;
    }
    return !holder.streams.isEmpty() && owesAnswerSince(holder) < now - SILENCE_MILLIS;
  }

  private void askOrSuspect(String name) {
    Holder holder = holder(name);
    if (holder.suspected && owesAnswerSince(holder) < worker.now() - SILENCE_MILLIS - PONG_MILLIS) {
      loseStreams(holder, "the node " + name + " is silent");
    }
    if (holder.suspected || holder.pingedMillis == NOT_PINGED) {
      ping(name, holder);
      return;
    }
    suspect(name, holder, "silent for " + (worker.now() - holder.heardMillis) + " ms");
    loseStreams(holder, "the node " + name + " is silent");
    askOthers();
  }

  /** Nodes are often lost together, so the others are asked before statements find out. */
  private void askOthers() {
    long now = worker.now();
    if (now - askedOthersMillis < ASK_OTHERS_MILLIS) {
      return;
    }
    askedOthersMillis = now;
    holders.forEach(
        (name, holder) -> {
          if (now - holder.heardMillis > SILENCE_MILLIS) {
            sendPing(name);
          }
        });
  }

  /** Time since which a holder has been silent though it owes an answer. */
  private static long owesAnswerSince(Holder holder) {
    long oldest = Long.MAX_VALUE;
    for (RelayChannel channel : holder.streams.values()) {
      oldest = Math.min(oldest, channel.unansweredSinceMillis());
    }
    return oldest == Long.MAX_VALUE ? oldest : Math.max(oldest, holder.heardMillis);
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

  private static void loseStreams(Holder holder, String cause) {
    holder.established = false;
    holder.pingedMillis = holder.suspected ? holder.pingedMillis : NOT_PINGED;
    List<RelayChannel> lost = List.copyOf(holder.streams.values());
    holder.streams.clear();
    lost.forEach(channel -> channel.lost(cause));
  }
}
