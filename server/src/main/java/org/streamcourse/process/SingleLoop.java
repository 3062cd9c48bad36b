package org.streamcourse.process;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;
import reactor.netty.resources.LoopResources;

/**
 * A single-threaded event loop that runs all connections of a process and its worker, so that
 * messages are handled on the thread that receives them.
 */
public final class SingleLoop implements LoopResources {
  private final EventLoopGroup group;
  private final Scheduler scheduler;

  /** Starts the event loop. */
  public SingleLoop() {
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    scheduler = Schedulers.fromExecutorService(group.next());
  }

  /**
   * Creates a worker on the loop's thread.
   *
   * @return worker
   */
  public Worker worker() {
    return SchedulerWorker.monotonic(scheduler);
  }

  /**
   * Returns the event loop.
   *
   * @return group with one event loop
   */
  public EventLoopGroup group() {
    return group;
  }

  @Override
  public EventLoopGroup onServer(boolean useNative) {
    return group;
  }

  @Override
  public Mono<Void> disposeLater(Duration quietPeriod, Duration timeout) {
    return Mono.fromRunnable(
        () ->
            group
                .shutdownGracefully(
                    quietPeriod.toMillis(), timeout.toMillis(), TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(timeout.toMillis()));
  }
}
