package org.streamcourse.connection.frontend;

import java.security.SecureRandom;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Keys with which callers may cancel the running request of their sessions. */
public final class CancelKeys {
  /**
   * A key.
   *
   * @param process number of the session, the protocol's process id
   * @param secret secret that the cancel request must carry
   */
  public record Key(int process, int secret) {}

  private final SecureRandom random = new SecureRandom();
  private final AtomicInteger processes = new AtomicInteger();
  private final Map<Key, Runnable> cancels = new ConcurrentHashMap<>();

  /**
   * Creates a key.
   *
   * @param cancel runs for each cancel request with this key
   * @return new key
   */
  public Key register(Runnable cancel) {
    Key key = new Key(processes.incrementAndGet(), random.nextInt());
    cancels.put(key, cancel);
    return key;
  }

  /**
   * Removes a key.
   *
   * @param key key of an ended session
   */
  public void remove(Key key) {
    cancels.remove(key);
  }

  /**
   * Handles a cancel request; an unknown key is ignored, as the protocol requires.
   *
   * @param key key of the cancel request
   */
  public void cancel(Key key) {
    Runnable cancel = cancels.get(key);
    if (cancel != null) {
      cancel.run();
    }
  }
}
