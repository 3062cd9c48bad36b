package org.streamcourse.request.gateway;

import java.util.ArrayList;
import java.util.List;
import org.streamcourse.connection.peer.PeerNetwork;
import org.streamcourse.process.Worker;
import org.streamcourse.request.StreamMessage.AwaitReceived;
import org.streamcourse.request.StreamMessage.ReceivedReport;
import org.streamcourse.version.control.MemberStatus;

/**
 * Reports from a replica's gateway to the gateways of the primary when the replica has received the
 * log position that they wait for. All methods run on the gateway's worker.
 */
final class ReceivedWatch {
  private record Waiting(String peer, AwaitReceived request, long expires) {}

  /** Time after which a request is dropped; the primary's gateway repeats it while it waits. */
  private static final long EXPIRY_MILLIS = 1_000;

  private final Worker worker;
  private final PeerNetwork network;
  private final List<Waiting> waiting = new ArrayList<>();

  ReceivedWatch(Worker worker, PeerNetwork network) {
    this.worker = worker;
    this.network = network;
  }

  void await(String peer, AwaitReceived request, MemberStatus status) {
    if (isReceived(request, status)) {
      report(peer, request, status);
      return;
    }
    waiting.add(new Waiting(peer, request, worker.now() + EXPIRY_MILLIS));
  }

  void onStatusChange(MemberStatus status) {
    long now = worker.now();
    for (Waiting each : List.copyOf(waiting)) {
      if (isReceived(each.request(), status)) {
        report(each.peer(), each.request(), status);
        waiting.remove(each);
      } else if (each.expires() < now) {
        waiting.remove(each);
      }
    }
  }

  private static boolean isReceived(AwaitReceived request, MemberStatus status) {
    return status.term() == request.term() && status.matched().reaches(request.position());
  }

  private void report(String peer, AwaitReceived request, MemberStatus status) {
    network.send(
        peer,
        new ReceivedReport(request.group(), request.member(), status.term(), status.matched()));
  }
}
