package org.streamcourse.process.settings;

import static org.testng.Assert.assertEquals;

import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.Test;

/** Requests to reload the settings are served once the process has started. */
public class ReloadRequestsTest {
  @Test
  public void requestsDuringTheStartAreServedOnceAfterIt() {
    ReloadRequests requests = new ReloadRequests();
    AtomicInteger reloads = new AtomicInteger();
    requests.request();
    requests.request();
    requests.started(reloads::incrementAndGet);
    assertEquals(reloads.get(), 1);
    requests.request();
    assertEquals(reloads.get(), 2);
  }
}
