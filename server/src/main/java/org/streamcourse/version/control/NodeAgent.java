package org.streamcourse.version.control;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamcourse.connection.peer.PeerNetwork;
import org.streamcourse.process.Disk;
import org.streamcourse.process.MessageCodec;
import org.streamcourse.process.Worker;
import org.streamcourse.version.control.ControlMessage.HeartbeatReply;
import org.streamcourse.version.control.ControlMessage.ImagePush;
import org.streamcourse.version.control.ControlMessage.ImageRequest;
import org.streamcourse.version.control.ControlMessage.LeaderHint;
import org.streamcourse.version.control.ControlMessage.MemberReport;
import org.streamcourse.version.control.ControlMessage.NodeHeartbeat;
import org.streamcourse.version.control.ControlMessage.StoredImage;
import org.streamcourse.version.image.ClusterDelta;
import org.streamcourse.version.image.ClusterImage;
import org.streamcourse.version.image.NodeImage;
import reactor.core.Disposable;

/**
 * A node's side of the control plane: sends heartbeats to the leader, keeps the newest image in
 * memory and on disk, and tells listeners of each new one.
 *
 * <p>The image never goes back: one with a lower version is dropped. {@link #isConfirmed()} is true
 * while a majority of the controllers confirmed, a short while ago, that this node's heartbeats are
 * heard; without that the node may not know that a member leaves, and takes no new work.
 */
public final class NodeAgent {
  private static final Logger LOG = LoggerFactory.getLogger(NodeAgent.class);
  private static final long REPORT_DELAY_MILLIS = 2;
  private static final long FIRST_HEARTBEATS_MILLIS = 120;
  private static final int SILENT_HEARTBEATS_BEFORE_NEXT = 2;
  private static final int KEPT_SENT_TIMES = 64;

  /** Time between questions for an image: a way between regions and back, and its bytes. */
  private static final long IMAGE_REQUEST_MILLIS = 150;

  private final Worker worker;
  private final PeerNetwork network;
  private final ImageStore store;
  private final ControlSettings settings;
  private final List<String> seeds;
  private final NodeImage self;
  private List<String> controllers;
  private final List<Consumer<ClusterImage>> listeners = new CopyOnWriteArrayList<>();
  private final List<Runnable> confirmationListeners = new CopyOnWriteArrayList<>();
  private final MemberReports reports = new MemberReports();
  private final TreeMap<Long, Long> sentAt = new TreeMap<>();
  private volatile ClusterImage image;
  private volatile long lastConfirmedMillis;
  private volatile boolean everConfirmed;
  private volatile boolean leaving;
  private Runnable storedImageListener = () -> {};
  private IntSupplier sessions = () -> 0;
  private Runnable heartbeatPreparation = () -> {};
  private long heldVersion;
  private long sequence;
  private int controllerIndex;
  private volatile long startedMillis;
  private String imageSource = "";
  private long lastAnswerMillis;
  private boolean answered;
  private boolean reportAll = true;
  private boolean heartbeatSoon;
  private Disposable timer = () -> {};

  /**
   * Creates an agent and loads the image that the node knew last.
   *
   * @param worker worker on which all methods but the queries run
   * @param network way to the controllers
   * @param disk data folder
   * @param codec codec that knows the control messages
   * @param settings timing
   * @param controllers names of the controllers
   * @param self this node
   */
  public NodeAgent(
      Worker worker,
      PeerNetwork network,
      Disk disk,
      MessageCodec codec,
      ControlSettings settings,
      List<String> controllers,
      NodeImage self) {
    this.worker = worker;
    this.network = network;
    this.settings = settings;
    this.seeds = new CopyOnWriteArrayList<>(controllers);
    this.controllers = List.copyOf(controllers);
    this.self = self;
    this.store = new ImageStore(disk, codec);
    this.image = store.load();
  }

  /**
   * Sets who knows the number of callers' sessions.
   *
   * @param count called on the agent's worker
   */
  public void countSessions(IntSupplier count) {
    sessions = count;
  }

  /**
   * Sets what gathers the reports that each heartbeat takes along; what must be told sooner is
   * reported as urgent at any time.
   *
   * @param preparation called on the agent's worker
   */
  public void beforeHeartbeat(Runnable preparation) {
    heartbeatPreparation = preparation;
  }

  /** Starts the heartbeats. */
  public void start() {
    startedMillis = worker.now();
    lastAnswerMillis = startedMillis;
    firstHeartbeats();
    timer = worker.repeat(settings.heartbeatMillis(), this::heartbeat);
  }

  /**
   * Asks often until the leader has confirmed this start: all controllers while there is no image,
   * since any of them may know one and which of them is up first is not known, and then one after
   * the other.
   */
  private void firstHeartbeats() {
    if (everConfirmed) {
      return;
    }
    int asked = image.version() == 0 ? controllers.size() : 1;
    for (int i = 0; i < asked; i++) {
      heartbeat();
      controllerIndex = (controllerIndex + 1) % controllers.size();
    }
    worker.schedule(FIRST_HEARTBEATS_MILLIS, this::firstHeartbeats);
  }

  /** Stops the heartbeats. */
  public void stop() {
    timer.dispose();
  }

  /** Tells the leader that this node wants to stop, so that its allowances move elsewhere. */
  public void leave() {
    leaving = true;
    heartbeatSoon();
  }

  /**
   * Returns the newest image.
   *
   * @return image; safe to call from any thread
   */
  public ClusterImage image() {
    return image;
  }

  /**
   * Returns this node.
   *
   * @return what the node tells of itself
   */
  public NodeImage self() {
    return self;
  }

  /**
   * Tells whether the node may take new work.
   *
   * @return true while a majority of controllers confirmed it recently; safe from any thread
   */
  public boolean isConfirmed() {
    return wasConfirmedWithin(settings.confirmationMillis());
  }

  /**
   * Tells how old the node's knowledge of what is agreed may be.
   *
   * @param millis an age
   * @return true when a heartbeat sent less than that ago was confirmed; safe from any thread
   */
  public boolean wasConfirmedWithin(long millis) {
    return everConfirmed && worker.now() - lastConfirmedMillis < millis;
  }

  /**
   * Tells whether the node has been without a confirmation for so long that the controllers seem to
   * be out of reach; a node that has just started may still hear of them.
   *
   * @return true when it was neither started nor confirmed recently; safe from any thread
   */
  public boolean isCutOff() {
    long since = everConfirmed ? lastConfirmedMillis : startedMillis;
    return worker.now() - since >= settings.confirmationMillis();
  }

  /**
   * Tells whether the node's parts of the members' limits are its own for sure: the controllers
   * give them to others only a while after this has become false.
   *
   * @return true while a majority of controllers confirmed it not too long ago; safe from any
   *     thread
   */
  public boolean holdsAllowances() {
    return wasConfirmedWithin(settings.allowanceLapseMillis());
  }

  /**
   * Adds a listener that hears each confirmation, on the agent's worker, when the image that came
   * with it is in force.
   *
   * @param listener the listener
   */
  public void onConfirmed(Runnable listener) {
    confirmationListeners.add(listener);
  }

  /**
   * Sets who hears that an image is in force which a controller had stored but no leader confirmed.
   *
   * @param listener runs on the agent's worker
   */
  public void onStoredImage(Runnable listener) {
    storedImageListener = listener;
  }

  /**
   * Tells whether the node is stopping.
   *
   * @return true once {@link #leave()} was called
   */
  public boolean isLeaving() {
    return leaving;
  }

  /**
   * Adds a listener that hears each new image on the agent's worker.
   *
   * @param listener the listener
   */
  public void onImage(Consumer<ClusterImage> listener) {
    listeners.add(listener);
  }

  /**
   * Notes that the node keeps the allowances of a version.
   *
   * @param version version whose allowances are kept
   */
  public void allowancesHeld(long version) {
    if (version > heldVersion) {
      heldVersion = version;
      heartbeatSoon();
    }
  }

  /**
   * Notes what a gateway knows of a member; a change is reported at once.
   *
   * @param report newest report
   * @param urgent whether the leader should hear it before the next heartbeat
   */
  public void report(MemberReport report, boolean urgent) {
    if (reports.put(report) && urgent) {
      heartbeatSoon();
    }
  }

  /**
   * Forgets a member that this node no longer is a gateway of.
   *
   * @param group group's name
   * @param member member's name
   */
  public void withdrawReport(String group, String member) {
    reports.withdraw(group, member);
  }

  /**
   * Handles a message from a controller, or a question or image from another node.
   *
   * @param sender name of the sender
   * @param message what arrived
   */
  public void receive(String sender, Object message) {
    if (message instanceof HeartbeatReply reply) {
      onReply(reply);
    } else if (message instanceof ImagePush push) {
      onPush(push.delta());
    } else if (message instanceof LeaderHint hint) {
      onHint(hint);
    } else if (message instanceof StoredImage stored) {
      onStoredImage(sender, stored.image());
    } else if (message instanceof ImageRequest && image.document().isPresent()) {
      network.send(sender, new StoredImage(image));
    }
  }

  /**
   * Asks another node for its image while this one has none. Controllers may be out of reach where
   * other nodes are not: without this, proxies that started behind a partition served nothing until
   * it ended. The node that spoke last is asked again until an image is there, since a question or
   * its answer may be lost.
   *
   * @param node name of a node that has just spoken
   */
  public void askForImage(String node) {
    boolean asksAlready = !imageSource.isEmpty();
    imageSource = image.version() > 0 ? "" : node;
    if (!asksAlready) {
      requestImage();
    }
  }

  private void requestImage() {
    if (image.version() > 0 || imageSource.isEmpty()) {
      imageSource = "";
      return;
    }
    LOG.info(
        "asks {} for its image, {} ms after the start", imageSource, worker.now() - startedMillis);
    network.send(imageSource, new ImageRequest());
    worker.schedule(IMAGE_REQUEST_MILLIS, this::requestImage);
  }

  /**
   * Sends a message to the controller that seems to lead; it may be lost.
   *
   * @param message what to send
   */
  public void tellController(ControlMessage message) {
    network.send(controllers.get(controllerIndex), message);
  }

  /**
   * Changes the controllers that are asked when those last heard of do not answer.
   *
   * @param names names of controllers
   */
  public void learnSeeds(List<String> names) {
    worker.execute(
        () -> {
          seeds.clear();
          seeds.addAll(names);
          learnControllers(controllers);
        });
  }

  /** Takes in the present controllers; the seeds stay at the end of the list. */
  private void learnControllers(List<String> present) {
    Set<String> next = new LinkedHashSet<>(present);
    next.addAll(seeds);
    if (next.equals(new LinkedHashSet<>(controllers))) {
      return;
    }
    String current = controllers.get(controllerIndex);
    controllers = List.copyOf(next);
    controllerIndex = Math.max(0, controllers.indexOf(current));
  }

  private void onReply(HeartbeatReply reply) {
    Long sent = sentAt.get(reply.sequence());
    if (sent == null) {
      return;
    }
    sentAt.headMap(reply.sequence(), true).clear();
    reports.confirmed(reply.sequence());
    answered = true;
    lastAnswerMillis = worker.now();
    reportAll = reply.reportAll();
    if (!reply.controllers().isEmpty()) {
      learnControllers(reply.controllers());
    }
    if (reply.image() != null && reply.image().version() > image.version()) {
      store.save(reply.image());
      install(reply.image());
    } else if (reply.delta() != null && reply.delta().fromVersion() == image.version()) {
      install(reply.delta());
    }
    tellConfirmed(sent);
    lastConfirmedMillis = Math.max(lastConfirmedMillis, sent);
    everConfirmed = true;
    confirmationListeners.forEach(Runnable::run);
    if (reportAll) {
      heartbeatSoon();
    }
  }

  /** Tells the first confirmation, and one that comes after a long time without. */
  private void tellConfirmed(long sent) {
    if (!isConfirmed()) {
      LOG.info(
          "confirmed by the controllers, image version {}, document version {}, after {} ms",
          image.version(),
          image.document().version(),
          everConfirmed ? sent - lastConfirmedMillis : worker.now() - startedMillis);
    }
  }

  private void onPush(ClusterDelta delta) {
    if (delta.fromVersion() == image.version()) {
      install(delta);
    } else if (delta.fromVersion() > image.version()) {
      heartbeatSoon();
    }
  }

  /** Taken only before the first confirmation, which brings the same version or a newer one. */
  private void onStoredImage(String source, ClusterImage stored) {
    if (everConfirmed || stored.version() <= image.version()) {
      return;
    }
    LOG.info(
        "takes a stored image of {}, version {}, document version {}, after {} ms",
        source,
        stored.version(),
        stored.document().version(),
        worker.now() - startedMillis);
    store.save(stored);
    install(stored);
    storedImageListener.run();
  }

  private void onHint(LeaderHint hint) {
    if (!hint.leader().isEmpty() && !controllers.contains(hint.leader())) {
      List<String> known = new ArrayList<>(controllers);
      known.add(hint.leader());
      learnControllers(known);
    }
    int index = controllers.indexOf(hint.leader());
    if (index >= 0 && index != controllerIndex) {
      controllerIndex = index;
      lastAnswerMillis = worker.now();
      reportAll = true;
      heartbeatSoon();
    }
  }

  private void install(ClusterDelta delta) {
    if (!delta.changes().isEmpty()) {
      ClusterImage next = image.apply(delta);
      store.save(delta, next);
      install(next);
    }
  }

  /**
   * Brings a stored image into force. The next regular heartbeat tells of it: with one for each
   * version, a fleet that starts would send as many heartbeats as it has nodes, times as many.
   */
  private void install(ClusterImage next) {
    image = next;
    LOG.debug("image version {}", next.version());
    for (Consumer<ClusterImage> listener : listeners) {
      listener.accept(next);
    }
  }

  private void heartbeatSoon() {
    if (!heartbeatSoon) {
      heartbeatSoon = true;
      worker.schedule(REPORT_DELAY_MILLIS, this::heartbeat);
    }
  }

  private void heartbeat() {
    heartbeatPreparation.run();
    heartbeatSoon = false;
    long now = worker.now();
    if (now - lastAnswerMillis > SILENT_HEARTBEATS_BEFORE_NEXT * settings.heartbeatMillis()) {
      controllerIndex = (controllerIndex + 1) % controllers.size();
      lastAnswerMillis = now;
      reportAll = true;
    }
    boolean all = reports.takeWithdrawn() || reportAll || !answered;
    answered = false;
    sequence++;
    sentAt.put(sequence, now);
    if (sentAt.size() > KEPT_SENT_TIMES) {
      sentAt.pollFirstEntry();
    }
    List<MemberReport> sent = reports.toSend(all, sequence);
    network.send(
        controllers.get(controllerIndex),
        new NodeHeartbeat(
            self, sequence, image.version(), heldVersion, leaving, sessions.getAsInt(), all, sent));
  }
}
