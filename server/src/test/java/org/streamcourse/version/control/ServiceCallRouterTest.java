package org.streamcourse.version.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import org.streamcourse.process.ControllerNode;
import org.streamcourse.process.MemoryDisk;
import org.streamcourse.process.MemoryLimits;
import org.streamcourse.process.Worker;
import org.streamcourse.request.StreamTypes;
import org.streamcourse.version.agreement.AgreementSettings;
import org.streamcourse.version.control.ControlMessage.ForwardedCall;
import org.streamcourse.version.control.ServiceCall.ReplaceDocument;
import org.streamcourse.version.control.ServiceCall.Result;
import org.streamcourse.version.control.ServiceCall.Status;
import org.streamcourse.version.image.RoutingDocument;
import org.streamcourse.version.image.SessionLimits;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.core.Disposable;

/** Calls that arrive faster than the worker carries them out, for instance while a disk stalls. */
public class ServiceCallRouterTest {
  private static final MemoryLimits LIMITS = new MemoryLimits(1024 * 1024);
  private static final int DOCUMENT_BYTES = LIMITS.callsBytes() / 8;

  private final Deque<Runnable> tasks = new ArrayDeque<>();
  private final List<Result> results = new ArrayList<>();
  private final List<Object> sent = new ArrayList<>();
  private ServiceCallRouter router;

  @BeforeMethod
  public void create() {
    tasks.clear();
    results.clear();
    sent.clear();
    Worker stalled =
        new Worker() {
          @Override
          public long now() {
            return 0;
          }

          @Override
          public void execute(Runnable task) {
            tasks.add(task);
          }

          @Override
          public Disposable schedule(long delayMillis, Runnable task) {
            return () -> {};
          }
        };
    router =
        new ControllerNode(
                "a:1",
                List.of("a:1"),
                true,
                stalled,
                (peer, message) -> sent.add(message),
                new MemoryDisk(),
                StreamTypes.codec(),
                AgreementSettings.DEFAULT.withMemory(LIMITS),
                ControlSettings.DEFAULT,
                new Random(1),
                0)
            .serviceCalls();
  }

  private static ServiceCall call() {
    String source = "x".repeat(DOCUMENT_BYTES);
    return new ReplaceDocument(
        new RoutingDocument(1, List.of(), List.of(), SessionLimits.DEFAULT, List.of(), source));
  }

  /** Guards against documents without limit that wait for a controller whose disk stalls. */
  @Test
  public void callsBeyondTheLimitAreRefusedAtOnce() {
    for (int i = 0; i < 20; i++) {
      router.execute(call(), results::add);
    }
    assertEquals(tasks.size(), 8);
    assertEquals(results.size(), 12);
    assertTrue(results.stream().allMatch(each -> each.status() == Status.UNAVAILABLE));
    assertTrue(results.get(0).text().contains("try again in a second"));
    assertEquals(router.waitingBytes(), 8L * DOCUMENT_BYTES);
    router.receive("peer", new ForwardedCall(7, call()));
    assertEquals(tasks.size(), 8);
    assertEquals(sent.size(), 1, "a forwarded call is refused at once too");
    router.execute(new ServiceCall.FetchDocument(), results::add);
    assertEquals(tasks.size(), 9, "a call without a document waits");
  }
}
