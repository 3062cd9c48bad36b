package org.streamcourse.request.edge;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.streamcourse.connection.peer.PeerNetwork;
import org.streamcourse.process.Worker;
import org.streamcourse.request.StreamMessage.PositionReply;
import org.streamcourse.request.StreamMessage.PositionRequest;
import org.streamcourse.version.image.Allowance;
import org.streamcourse.version.image.GroupImage;
import org.streamcourse.version.image.MemberImage;
import org.streamcourse.version.image.TermPosition;

/**
 * Determines a floor for a session whose caller supplied none: the highest log position that any
 * member of a majority of the group has received, requested after the session began. A majority has
 * received every write that was acknowledged before, so at least one of the members that reply has
 * it. Sessions that begin before a round of requests is sent share that round.
 *
 * <p>All methods run on the edge's worker.
 */
final class FloorReader {
  /** One round of position requests to the members of a group. */
  private static final class Round {
    final String group;
    final List<Consumer<TermPosition>> callbacks;
    final Map<String, TermPosition> received = new HashMap<>();
    int attempts;

    Round(String group, List<Consumer<TermPosition>> callbacks) {
      this.group = group;
      this.callbacks = callbacks;
    }
  }

  private final Worker worker;
  private final PeerNetwork network;
  private final EdgeNode edge;
  private final Map<String, List<Consumer<TermPosition>>> notStarted = new HashMap<>();
  private final Map<Long, Round> rounds = new HashMap<>();

  /** Id of the latest round; negative, since the gateways of this node use positive ids. */
  private long lastRoundId;

  FloorReader(Worker worker, PeerNetwork network, EdgeNode edge) {
    this.worker = worker;
    this.network = network;
    this.edge = edge;
    this.lastRoundId = -edge.self().lastRequest();
  }

  void read(String group, Consumer<TermPosition> callback) {
    List<Consumer<TermPosition>> sharedCallbacks = notStarted.get(group);
    if (sharedCallbacks != null) {
      sharedCallbacks.add(callback);
      return;
    }
    List<Consumer<TermPosition>> callbacks = new ArrayList<>(List.of(callback));
    notStarted.put(group, callbacks);
    worker.execute(() -> startRound(group));
  }

  private void startRound(String group) {
    lastRoundId--;
    Round round = new Round(group, notStarted.remove(group));
    rounds.put(lastRoundId, round);
    requestPositions(lastRoundId, group);
  }

  /** Requests positions, each time through other gateways, until a majority has replied. */
  private void requestPositions(long id, String groupName) {
    Round round = rounds.get(id);
    GroupImage group = edge.image().groups().get(groupName);
    if (round == null || group == null) {
      rounds.remove(id);
      return;
    }
    for (MemberImage member : group.members()) {
      List<Allowance> gateways = member.allowances();
      if (!round.received.containsKey(member.name()) && !gateways.isEmpty()) {
        String gateway = gateways.get(round.attempts % gateways.size()).node();
        network.send(gateway, new PositionRequest(id, groupName, member.name()));
      }
    }
    round.attempts++;
    worker.schedule(edge.settings().floorRetryMillis(), () -> requestPositions(id, groupName));
  }

  void onReply(PositionReply reply) {
    Round round = rounds.get(reply.requestId());
    if (round == null || !reply.known()) {
      return;
    }
    round.received.put(reply.member(), reply.status().received());
    GroupImage group = edge.image().groups().get(round.group);
    if (group != null && round.received.size() >= group.majority()) {
      rounds.remove(reply.requestId());
      TermPosition floor =
          round.received.values().stream().reduce(TermPosition.ZERO, TermPosition::max);
      round.callbacks.forEach(callback -> callback.accept(floor));
    }
  }
}
