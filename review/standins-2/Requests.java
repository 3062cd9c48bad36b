package standins2;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Requests of single statements at a steady rate, each on a session of its own. After a promise
 * that nothing is kept, and for a read after any failure, a request is sent again to another
 * machine, twice at most and inside its deadline.
 */
public final class Requests {
  private static final int RETRIES = 2;
  private static final long DEADLINE_MILLIS = 4_000;
  private static final List<String> PROMISES =
      List.of("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "MAXCONN");

  public final AtomicInteger served = new AtomicInteger();
  public final AtomicInteger unserved = new AtomicInteger();
  private final World world;
  private final String database;
  private final String text;

  public Requests(World world, String database, String text) {
    this.world = world;
    this.database = database;
    this.text = text;
  }

  /** Sends requests from several threads, each one every {@code gapMillis}, for some time. */
  public void run(String prefix, int threads, long gapMillis, long forMillis) throws Exception {
    long until = world.record.millis() + forMillis;
    List<Thread> senders = new ArrayList<>();
    for (int i = 0; i < threads; i++) {
      int number = i;
      Thread sender = new Thread(() -> send(prefix + number, number, gapMillis, until));
      sender.start();
      senders.add(sender);
    }
    for (Thread sender : senders) {
      sender.join();
    }
  }

  private void send(String prefix, int number, long gapMillis, long until) {
    for (int i = 0; world.record.millis() < until; i++) {
      long started = world.record.millis();
      (request(prefix + "x" + i, number + i) ? served : unserved).incrementAndGet();
      try {
        Thread.sleep(Math.max(0, gapMillis - (world.record.millis() - started)));
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private boolean request(String id, int first) {
    long started = world.record.millis();
    for (int attempt = 0; attempt <= RETRIES; attempt++) {
      Fleet.Machine edge = world.fleet.edges.get((first + attempt) % world.fleet.edges.size());
      long left = DEADLINE_MILLIS - (world.record.millis() - started);
      if (left <= 0) {
        return false;
      }
      boolean again;
      try (Client client = new Client(edge.front(), (int) left)) {
        if (!client.start(database, "u1")) {
          again = true;
          world.record.line("CLIENT " + id + "." + attempt + " at " + edge.host + ": START refused");
        } else {
          Client.Answer answer = client.query(id + "." + attempt, text);
          world.record.line("CLIENT " + id + "." + attempt + " at " + edge.host + ": " + answer);
          if (answer.isSuccess()) {
            return true;
          }
          again = PROMISES.contains(answer.code()) || text.startsWith("READ");
        }
      } catch (IOException e) {
        world.record.line("CLIENT " + id + "." + attempt + " at " + edge.host + ": " + e);
        again = text.startsWith("READ");
      }
      if (!again) {
        return false;
      }
    }
    return false;
  }

  /** Returns the share of the requests that were refused or failed. */
  public double unservedShare() {
    return (double) unserved.get() / Math.max(1, served.get() + unserved.get());
  }

  @Override
  public String toString() {
    return served + " served, " + unserved + " refused or failed";
  }
}
