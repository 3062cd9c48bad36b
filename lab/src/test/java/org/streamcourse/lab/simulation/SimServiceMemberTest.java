package org.streamcourse.lab.simulation;

import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.function.Consumer;
import org.streamcourse.version.control.ServiceCall;
import org.testng.annotations.Test;

/** Tests that a simulated member follows the members' side of the protocol. */
public class SimServiceMemberTest {
  private static final long SEED = 1;

  /** Time between two regular heartbeats of a member. */
  private static final long HEARTBEAT_MILLIS = 1_200;

  /** A fleet that records whether a heartbeat of the member started last was acknowledged. */
  private static final class RecordingWorld extends ServiceWorld {
    private String started = "";
    private boolean acknowledged;

    RecordingWorld() {
      super(SEED);
    }

    @Override
    void call(
        String from, String controller, ServiceCall call, Consumer<ServiceCall.Result> answer) {
      super.call(
          from,
          controller,
          call,
          result -> {
            acknowledged |= from.equals(started) && result.status() == ServiceCall.Status.DONE;
            answer.accept(result);
          });
    }
  }

  /**
   * Guards against a simulated member that sends a heartbeat without an acknowledgement again only
   * at the next regular time: no leader knows it meanwhile, though it acknowledges commits.
   */
  @Test
  public void memberWithoutAcknowledgementCallsTheNextController() {
    RecordingWorld world = new RecordingWorld();
    boolean[] inTime = new boolean[1];
    world.run(
        any -> {
          SimServiceMember member = world.newMember(0);
          world.started = member.host().name();
          world.cut(world.started, List.of("c2", "c3"));
          member.boot();
          world.after(HEARTBEAT_MILLIS - 1, () -> inTime[0] = world.acknowledged);
        });
    assertTrue(inTime[0]);
  }
}
