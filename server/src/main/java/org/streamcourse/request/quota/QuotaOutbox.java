package org.streamcourse.request.quota;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.streamcourse.connection.peer.PeerNetwork;
import org.streamcourse.process.Worker;
import org.streamcourse.version.image.TenantId;

/**
 * Gathers what is to be sent to nodes about operations until the tasks at hand are done, so that
 * operations that come together go in one message.
 *
 * <p>All methods run on the proxy's worker.
 */
final class QuotaOutbox {
  /** What is to be sent to one node. */
  private static final class Batch {
    private final List<TenantId> asked = new ArrayList<>();
    private final List<Integer> admitted = new ArrayList<>();
    private final List<Integer> waits = new ArrayList<>();
    private final List<Integer> notRun = new ArrayList<>();
    private int firstAsked;
  }

  private final Worker worker;
  private final PeerNetwork network;
  private final Map<String, Batch> batches = new LinkedHashMap<>();

  QuotaOutbox(Worker worker, PeerNetwork network) {
    this.worker = worker;
    this.network = network;
  }

  /** Asks a quota server; numbers that do not follow one another go in messages of their own. */
  void ask(String quotaServer, int number, TenantId tenant) {
    Batch batch = batch(quotaServer);
    if (!batch.asked.isEmpty() && number != batch.firstAsked + batch.asked.size()) {
      sendAsked(quotaServer, batch);
    }
    if (batch.asked.isEmpty()) {
      batch.firstAsked = number;
    }
    batch.asked.add(tenant);
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

  /** Sends at once; these are few, or come from one tenant that wants more than its limit. */
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
    Map<String, Batch> full = new LinkedHashMap<>(batches);
    batches.clear();
    full.forEach(this::flush);
  }

  private void flush(String node, Batch batch) {
    if (!batch.asked.isEmpty()) {
      sendAsked(node, batch);
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

  private void sendAsked(String quotaServer, Batch batch) {
    network.send(quotaServer, new QuotaMessage.Ask(batch.firstAsked, new ArrayList<>(batch.asked)));
    batch.asked.clear();
  }

  private static int[] numbers(List<Integer> list) {
    return list.stream().mapToInt(Integer::intValue).toArray();
  }
}
