package org.streamcourse.process;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.streamcourse.request.StreamTypes;
import org.streamcourse.version.agreement.AgreementMessage.AppendRequest;
import org.streamcourse.version.agreement.AgreementSettings;
import org.streamcourse.version.agreement.VoterSet;
import org.streamcourse.version.control.AdminResult;
import org.streamcourse.version.control.ControlMessage.AdminRequest;
import org.streamcourse.version.control.ControlMessage.AdminResponse;
import org.streamcourse.version.control.ControlMessage.AgreementEnvelope;
import org.streamcourse.version.control.ControlMessage.ForwardedCall;
import org.streamcourse.version.control.ControlMessage.ForwardedResult;
import org.streamcourse.version.control.ControlSettings;
import org.streamcourse.version.control.ServiceCall;
import org.streamcourse.version.control.ServiceCall.Result;
import org.streamcourse.version.image.RoutingDocument;
import org.streamcourse.version.image.SessionLimits;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.test.scheduler.VirtualTimeScheduler;

/** A controller that follows a leader restarts while the leader still works on its requests. */
public class ControllerRestartTest {
  private static final String SELF = "a";
  private static final String LEADER = "b";
  private static final String FIRST_DISK = "first";
  private static final long TERM = 1;

  private VirtualTimeScheduler clock;
  private Disk disk;
  private List<Object> sent;
  private ControllerNode node;
  private long starts;

  @BeforeMethod
  public void create() {
    clock = VirtualTimeScheduler.create();
    disk = new MemoryDisk();
    sent = new ArrayList<>();
    starts = 0;
    start();
  }

  @AfterMethod
  public void stop() {
    node.stop();
    advance();
  }

  /** Starts the controller, which then hears from its leader. */
  private void start() {
    starts++;
    node =
        new ControllerNode(
            SELF,
            List.of(SELF, LEADER, "c"),
            true,
            SchedulerWorker.onSchedulerClock(clock),
            (peer, message) -> sent.add(message),
            disk,
            StreamTypes.codec(),
            AgreementSettings.DEFAULT,
            ControlSettings.DEFAULT,
            new Random(1),
            starts << Integer.SIZE);
    node.start();
    AppendRequest heartbeat =
        new AppendRequest(
            VoterSet.identity(LEADER, FIRST_DISK), TERM, 0, 0, new ArrayList<>(), 0, 1);
    node.receive(LEADER, new AgreementEnvelope(VoterSet.identity(SELF, FIRST_DISK), heartbeat));
    advance();
  }

  private void restart() {
    stop();
    start();
  }

  private void advance() {
    clock.advanceTimeBy(Duration.ofMillis(1));
  }

  private <T> T lastSent(Class<T> kind) {
    List<T> all = sent.stream().filter(kind::isInstance).map(kind::cast).toList();
    return all.get(all.size() - 1);
  }

  private List<Result> call(ServiceCall call) {
    List<Result> results = new ArrayList<>();
    node.serviceCalls().execute(call, results::add);
    advance();
    return results;
  }

  private void receive(Object message) {
    node.receive(LEADER, message);
    advance();
  }

  /** Guards against a document that is acknowledged by the result of a call of the former run. */
  @Test
  public void aResultForTheFormerRunAnswersNoCall() {
    call(new ServiceCall.FetchDocument());
    long former = lastSent(ForwardedCall.class).callId();
    restart();
    RoutingDocument document =
        new RoutingDocument(1, List.of(), List.of(), SessionLimits.DEFAULT, List.of(), "v1");
    List<Result> results = call(new ServiceCall.ReplaceDocument(document));
    receive(new ForwardedResult(former, Result.DONE));
    assertEquals(results, List.of(), "answered by the result of another call");

    Result refused = Result.unavailable("the leader has changed");
    receive(new ForwardedResult(lastSent(ForwardedCall.class).callId(), refused));
    assertEquals(results, List.of(refused));
  }

  /** Guards against a statement that is answered by the result of one of the former run. */
  @Test
  public void aStatementsResultForTheFormerRunAnswersNoStatement() {
    node.router().execute("SHOW NODES", result -> {});
    advance();
    long former = lastSent(AdminRequest.class).requestId();
    restart();
    List<AdminResult> results = new ArrayList<>();
    node.router().execute("DROP GROUP g", results::add);
    advance();
    receive(new AdminResponse(former, new AdminResult(List.of(), List.of(), "SHOW NODES", "", "")));
    assertEquals(results, List.of(), "answered by the result of another statement");

    AdminResult refused = AdminResult.error("58000", "not run");
    receive(new AdminResponse(lastSent(AdminRequest.class).requestId(), refused));
    assertEquals(results, List.of(refused));
  }
}
