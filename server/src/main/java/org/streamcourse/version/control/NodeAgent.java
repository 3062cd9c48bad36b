package org.streamcourse.version.control;

import java.util.List;
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
 * memory and on disk, and notifies listeners of each new image.
 *
 * <p>The image's version never decreases: an image with a lower version is dropped. {@link
 * #isConfirmed()} is true while a heartbeat of this node was recently confirmed by a majority of
 * the controllers. Without a confirmation the node may have missed that a member is draining, so a
 * gateway accepts no new work; a statement proxy continues to serve.
 */
public final class NodeAgent {
  private static final Logger LOG = LoggerFactory.getLogger(NodeAgent.class);
  private static final long REPORT_DELAY_MILLIS = 2;
  private static final long STARTUP_HEARTBEAT_MILLIS = 120;
  private static final int UNANSWERED_HEARTBEATS_BEFORE_NEXT = 2;
  private static final int MAX_SENT_TIMES = 64;

  /** Age of the agent up to which a node serves with a stored image at once. */
  private static final long JUST_STARTED_MILLIS = 1_000;

  private final Worker worker;
  private final PeerNetwork network;
  private final ImageStore store;
  private final ControlSettings settings;
  private final NodeImage self;
  private final ControllerChoice controllers;
  private final List<Consumer<ClusterImage>> listeners = new CopyOnWriteArrayList<>();
  private final List<Runnable> confirmationListeners = new CopyOnWriteArrayList<>();
  private final MemberReports reports = new MemberReports();
  private final TreeMap<Long, Long> sentAt = new TreeMap<>();
  private final NodeConfirmation confirmation;
  private final ElectionWait electionWait;
  private final ImageRequests imageRequests;
  private volatile ClusterImage image;
  private volatile boolean leaving;

  /** Whether a stored image arrived at that age; stays set, so the node serves without a leader. */
  private volatile boolean hadJustStarted;

  private IntSupplier sessions = () -> 0;
  private Runnable heartbeatPreparation = () -> {};
  private long heldVersion;
  private long sequence;
  private long lastAnswerMillis;
  private boolean answered;
  private boolean reportAll = true;
  private boolean heartbeatScheduled;
  private Disposable timer = () -> {};

  /**
   * Creates an agent and loads the image that the node stored last.
   *
   * @param worker worker on which all methods run, except for the getters
   * @param network sends messages to the controllers
   * @param disk data folder
   * @param codec codec that knows the control messages
   * @param settings timing
   * @param controllers names of the controllers
   * @param self this node
   * @param lastHeartbeat number below those of the heartbeats of this start; far from those of
   *     other starts
   */
  public NodeAgent(
      Worker worker,
      PeerNetwork network,
      Disk disk,
      MessageCodec codec,
      ControlSettings settings,
      List<String> controllers,
      NodeImage self,
      long lastHeartbeat) {
    this.worker = worker;
    this.network = network;
    this.settings = settings;
    this.controllers = new ControllerChoice(controllers);
    this.self = self;
    this.sequence = lastHeartbeat;
    this.confirmation = new NodeConfirmation(worker, settings);
    this.electionWait = new ElectionWait(worker);
    this.imageRequests = new ImageRequests(worker, network, () -> image.version() > 0);
    this.store = new ImageStore(disk, codec);
    this.image = store.load();
  }

  /**
   * Sets the source of the number of client sessions.
   *
   * @param count called on the agent's worker
   */
  public void setSessionCount(IntSupplier count) {
    sessions = count;
  }

  /**
   * Sets a task that adds the reports for the next heartbeat; urgent reports are added at any time.
   *
   * @param preparation runs on the agent's worker before each heartbeat
   */
  public void setHeartbeatPreparation(Runnable preparation) {
    heartbeatPreparation = preparation;
  }

  /** Starts the heartbeats. */
  public void start() {
    confirmation.start();
    lastAnswerMillis = worker.now();
    startupHeartbeats();
    timer = worker.repeat(settings.heartbeatMillis(), this::heartbeat);
  }

  /**
   * Sends heartbeats at a short interval until the leader confirms this start: to all controllers
   * while there is no image, since any of them may be the first that is up and has one, and then to
   * one controller after the other.
   */
  private void startupHeartbeats() {
    if (confirmation.hasAny()) {
      return;
    }
    int receivers = image.version() == 0 ? controllers.all().size() : 1;
    for (int i = 0; i < receivers; i++) {
      heartbeat();
      controllers.next();
    }
    worker.schedule(STARTUP_HEARTBEAT_MILLIS, this::startupHeartbeats);
  }

  /** Stops the heartbeats. */
  public void stop() {
    timer.dispose();
  }

  /** Reports to the leader that this node is draining, so that its allowances move elsewhere. */
  public void leave() {
    leaving = true;
    scheduleHeartbeat();
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
   * @return description of this node in its heartbeats
   */
  public NodeImage self() {
    return self;
  }

  /**
   * Returns whether the node may accept new work.
   *
   * @return true while a majority confirmed a heartbeat recently; safe from any thread
   */
  public boolean isConfirmed() {
    return wasConfirmedWithin(settings.confirmationMillis());
  }

  /**
   * Returns whether a heartbeat was confirmed recently enough.
   *
   * @param millis greatest age of the confirmed heartbeat
   * @return true when a heartbeat sent less than this time ago was confirmed; safe from any thread
   */
  public boolean wasConfirmedWithin(long millis) {
    return confirmation.isWithin(millis);
  }

  /**
   * Returns whether the node has been without a confirmation for so long that the controllers seem
   * to be unreachable. A node that has just started does not count as cut off yet.
   *
   * @return true when it was neither started nor confirmed recently; safe from any thread
   */
  public boolean isCutOff() {
    return confirmation.isCutOff();
  }

  /**
   * Returns whether the node may serve with its image: it was confirmed since the start, or no
   * confirmation can be expected soon, since no controller is reachable or none was elected, or it
   * had only just started when a stored image arrived.
   *
   * @return false while a newer image may be expected; safe from any thread
   */
  public boolean mayServe() {
    boolean servesStored = hadJustStarted || electionWait.isOver();
    return confirmation.hasAny() || (image.document().isPresent() && servesStored);
  }

  /**
   * Returns whether the node's allowances certainly belong to it: the controllers assign them to
   * other nodes only some time after this has become false.
   *
   * @return true while a heartbeat was confirmed not too long ago; safe from any thread
   */
  public boolean holdsAllowances() {
    return wasConfirmedWithin(settings.allowanceLapseMillis());
  }

  /**
   * Adds a listener for confirmations.
   *
   * @param listener runs on the agent's worker when the image of a confirmation is in force
   */
  public void onConfirmed(Runnable listener) {
    confirmationListeners.add(listener);
  }

  /**
   * Returns whether the node is draining.
   *
   * @return true once {@link #leave()} was called
   */
  public boolean isLeaving() {
    return leaving;
  }

  /**
   * Adds a listener for new images.
   *
   * @param listener receives each new image on the agent's worker
   */
  public void onImage(Consumer<ClusterImage> listener) {
    listeners.add(listener);
  }

  /**
   * Records that the node adheres to the allowances of a version.
   *
   * @param version version whose allowances the node does not exceed
   */
  public void allowancesHeld(long version) {
    if (version > heldVersion) {
      heldVersion = version;
      scheduleHeartbeat();
    }
  }

  /**
   * Adds a report on a member; an urgent change is sent at once.
   *
   * @param report newest report
   * @param urgent whether a heartbeat is sent for it at once
   */
  public void report(MemberReport report, boolean urgent) {
    if (reports.put(report) && urgent) {
      scheduleHeartbeat();
    }
  }

  /**
   * Removes the report on a member that this node is no longer a gateway of.
   *
   * @param group group's name
   * @param member member's name
   */
  public void withdrawReport(String group, String member) {
    reports.withdraw(group, member);
  }

  /**
   * Handles a message from a controller, or an image or a request for one from another node.
   *
   * @param sender name of the sender
   * @param message what arrived
   */
  public void receive(String sender, Object message) {
    if (message instanceof HeartbeatReply reply) {
      onReply(reply);
    } else if (message instanceof ImagePush push) {
      onPush(sender, push.delta());
    } else if (message instanceof LeaderHint hint) {
      onHint(hint);
    } else if (message instanceof StoredImage stored) {
      onStoredImage(sender, stored.image());
    } else if (message instanceof ImageRequest && image.document().isPresent()) {
      network.send(sender, new StoredImage(image));
    }
  }

  /**
   * Requests the image of another node if this node has none.
   *
   * @param node name of a node from which a message has just arrived
   */
  public void requestImageFrom(String node) {
    imageRequests.reached(node);
  }

  /**
   * Sends a message to the controller that is presumably the leader; the message may be lost.
   *
   * @param message the message
   */
  public void sendToController(ControlMessage message) {
    network.send(controllers.current(), message);
  }

  /**
   * Replaces the seeds: controllers that are contacted when none of the last known ones responds.
   *
   * @param names names of controllers
   */
  public void setSeeds(List<String> names) {
    worker.execute(() -> controllers.setSeeds(names));
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
    controllers.responded();
    if (!reply.controllers().isEmpty()) {
      controllers.setPresent(reply.controllers());
    }
    if (reply.image() != null && reply.image().version() > image.version()) {
      store.save(reply.image());
      install(reply.image(), "reply");
    } else if (reply.delta() != null) {
      install(reply.delta(), "reply");
    }
    if (reply.version() > image.version()) {
      // The changes do not fit the image, so the image is not confirmed.
      scheduleHeartbeat();
      return;
    }
    confirmation.confirmed(sent, image);
    confirmationListeners.forEach(Runnable::run);
    if (reportAll) {
      scheduleHeartbeat();
    }
  }

  /** Only a leader sends changes, so a node whose controller is gone finds the next one by them. */
  private void onPush(String sender, ClusterDelta delta) {
    followLeader(sender);
    install(delta, "push");
    if (delta.fromVersion() > image.version()) {
      scheduleHeartbeat();
    }
  }

  /** Installs a stored image before the first confirmation, whose image is at least as new. */
  private void onStoredImage(String source, ClusterImage stored) {
    if (controllers.contains(source)) {
      electionWait.controllerResponded();
    }
    if (confirmation.hasAny() || stored.version() <= image.version()) {
      return;
    }
    LOG.info(
        "installs the stored image of {}, version {}, document version {}, {} ms after the start",
        source,
        stored.version(),
        stored.document().version(),
        confirmation.millisSinceStart());
    store.save(stored);
    install(stored, "stored image");
    hadJustStarted |= confirmation.millisSinceStart() < JUST_STARTED_MILLIS;
  }

  private void onHint(LeaderHint hint) {
    electionWait.controllerResponded();
    if (!hint.leader().isEmpty()) {
      followLeader(hint.leader());
    }
  }

  private void followLeader(String leader) {
    if (controllers.choose(leader)) {
      lastAnswerMillis = worker.now();
      reportAll = true;
      scheduleHeartbeat();
    }
  }

  /** Installs the changes that the image lacks, unless changes before them are missing too. */
  private void install(ClusterDelta delta, String source) {
    ClusterDelta missing = delta.after(image.version());
    if (!missing.changes().isEmpty()) {
      ClusterImage next = image.apply(missing);
      store.save(missing, next);
      install(next, source);
    }
  }

  /**
   * Brings a stored image into force. The next regular heartbeat reports its version: with a
   * heartbeat for each version, the number sent by a starting fleet would grow with its size
   * squared.
   */
  private void install(ClusterImage next, String source) {
    long documentBefore = image.document().version();
    image = next;
    if (next.document().version() != documentBefore) {
      LOG.info(
          "document in force, version {}, image version {}, source {}, confirmed {}",
          next.document().version(),
          next.version(),
          source,
          isConfirmed());
    }
    for (Consumer<ClusterImage> listener : listeners) {
      listener.accept(next);
    }
  }

  private void scheduleHeartbeat() {
    if (!heartbeatScheduled) {
      heartbeatScheduled = true;
      worker.schedule(REPORT_DELAY_MILLIS, this::heartbeat);
    }
  }

  private void heartbeat() {
    heartbeatPreparation.run();
    heartbeatScheduled = false;
    long now = worker.now();
    if (now - lastAnswerMillis > UNANSWERED_HEARTBEATS_BEFORE_NEXT * settings.heartbeatMillis()) {
      controllers.next();
      lastAnswerMillis = now;
      reportAll = true;
    }
    boolean all = reports.takeWithdrawn() || reportAll || !answered;
    answered = false;
    sequence++;
    sentAt.put(sequence, now);
    if (sentAt.size() > MAX_SENT_TIMES) {
      sentAt.pollFirstEntry();
    }
    List<MemberReport> sent = reports.toSend(all, sequence);
    network.send(
        controllers.current(),
        new NodeHeartbeat(
            self, sequence, image.version(), heldVersion, leaving, sessions.getAsInt(), all, sent));
  }
}
