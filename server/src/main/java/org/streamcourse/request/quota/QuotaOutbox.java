package org.streamcourse.request.quota;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.streamcourse.connection.peer.PeerNetwork;
import org.streamcourse.process.Worker;
import org.streamcourse.version.image.TenantId;

/**
 * Batches messages about operations, by node, until the worker has run its pending tasks, so that
 * operations that arrive together go in one message.
 *
 * <p>All methods run on the proxy's worker.
 */
final class QuotaOutbox {
  /** Entries to be sent to one node. */
  private static final class Batch {
    private final List<TenantId> requested = new ArrayList<>();
    private final List<Integer> admitted = new ArrayList<>();
    private final List<Integer> waits = new ArrayList<>();
    private final List<Integer> notRun = new ArrayList<>();
    private int firstRequested;
  }

  private final Worker worker;
  private final PeerNetwork network;
  private final Map<String, Batch> batches = new LinkedHashMap<>();

  QuotaOutbox(Worker worker, PeerNetwork network) {
    this.worker = worker;
    this.network = network;
  }

  /** Adds a request to a quota server; a message holds only consecutive numbers. */
  void request(String quotaServer, int number, TenantId tenant) {
    Batch batch = batch(quotaServer);
    if (!batch.requested.isEmpty() && number != batch.firstRequested + batch.requested.size()) {
      sendRequested(quotaServer, batch);
    }
    if (batch.requested.isEmpty()) {
      batch.firstRequested = number;
    }
    batch.requested.add(tenant);
  }

  void notRun(String quotaServer, int number) {
    batch(quotaServer).notRun.add(number);
  }

  void admitted(String node, int number) {
    batch(node).admitted.add(number);
  }

  void waits(String node, int number) {
    batch(node).waits.add(number);
  }

  /**
   * Sends a message unbatched. Such messages are few, or caused by a tenant that exceeds its limit.
   */
  void send(String node, QuotaMessage message) {
    network.send(node, message);
  }

  private Batch batch(String node) {
    if (batches.isEmpty()) {
      worker.execute(this::flush);
    }
    return batches.computeIfAbsent(node, any -> new Batch());
  }

  private void flush() {
    Map<String, Batch> pending = new LinkedHashMap<>(batches);
    batches.clear();
    pending.forEach(this::flush);
  }

  private void flush(String node, Batch batch) {
    if (!batch.requested.isEmpty()) {
      sendRequested(node, batch);
    }
    if (!batch.admitted.isEmpty()) {
      network.send(node, new QuotaMessage.Admitted(numbers(batch.admitted)));
    }
    if (!batch.waits.isEmpty()) {
      network.send(node, new QuotaMessage.Waits(numbers(batch.waits)));
    }
    if (!batch.notRun.isEmpty()) {
      network.send(node, new QuotaMessage.NotRun(numbers(batch.notRun)));
    }
  }

  private void sendRequested(String quotaServer, Batch batch) {
    network.send(
        quotaServer, new QuotaMessage.Ask(batch.firstRequested, new ArrayList<>(batch.requested)));
    batch.requested.clear();
  }

  private static int[] numbers(List<Integer> list) {
    return list.stream().mapToInt(Integer::intValue).toArray();
  }
}
