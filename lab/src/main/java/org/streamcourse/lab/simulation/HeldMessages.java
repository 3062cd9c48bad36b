package org.streamcourse.lab.simulation;

import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.streamcourse.version.control.ControlMessage;
import reactor.core.scheduler.Scheduler;

/**
 * Messages that are sent while their receiver is down and held while it is dialed, as by a real
 * link: they reach the receiver's next incarnation if it starts in time.
 */
final class HeldMessages {
  /** Longest time for which a real link queues a message while it dials. */
  private static final long MAX_HOLD_MICROS = 2_000_000;

  private static final long DIAL_MICROS = 50_000;
  private static final long MAX_OPEN_MICROS = 300_000;

  private final Scheduler scheduler;
  private final UniformRandomProvider random;
  private boolean enabled;

  HeldMessages(Scheduler scheduler, UniformRandomProvider random) {
    this.scheduler = scheduler;
    this.random = random;
  }

  void enable() {
    enabled = true;
  }

  boolean holds(SimHost receiver, Object message) {
    boolean kind =
        message instanceof ControlMessage.ForwardedCall
            || message instanceof ControlMessage.ForwardedResult
            || message instanceof ControlMessage.HeartbeatReply;
    return enabled && kind && !receiver.isUp();
  }

  /** Delivers a message some time after its receiver has started again. */
  void hold(SimHost receiver, Runnable delivery) {
    dial(receiver, delivery, scheduler.now(TimeUnit.MICROSECONDS) + MAX_HOLD_MICROS);
  }

  private void dial(SimHost receiver, Runnable delivery, long endMicros) {
    if (receiver.isUp()) {
      int incarnation = receiver.incarnation();
      Runnable arrival = () -> receiver.execute(incarnation, delivery);
      scheduler.schedule(arrival, random.nextLong(MAX_OPEN_MICROS), TimeUnit.MICROSECONDS);
    } else if (scheduler.now(TimeUnit.MICROSECONDS) < endMicros) {
      Runnable again = () -> dial(receiver, delivery, endMicros);
      scheduler.schedule(again, DIAL_MICROS, TimeUnit.MICROSECONDS);
    }
  }
}
