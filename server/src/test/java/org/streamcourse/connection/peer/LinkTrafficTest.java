package org.streamcourse.connection.peer;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.streamcourse.version.agreement.AgreementMessage.JoinRequest;
import org.streamcourse.version.control.ControlMessage.AgreementEnvelope;
import org.streamcourse.version.image.Placement;
import org.testng.annotations.Test;

/** Sent messages are counted by kind and distance. */
public class LinkTrafficTest {
  private static final Placement SELF = new Placement("r1", "r1-a");

  @Test
  public void countsByKindAndDistance() {
    LinkTraffic traffic = new LinkTraffic();
    List<String> announced = new ArrayList<>();
    traffic.onNewCounter(counter -> announced.add(counter.kind() + '/' + counter.distance()));
    traffic.sent(String.class, PeerDistance.ZONE, 10);
    traffic.sent(String.class, PeerDistance.OTHER_REGION, 20);
    traffic.sent(String.class, PeerDistance.OTHER_REGION, 5);
    assertEquals(announced, List.of("String/ZONE", "String/OTHER_REGION"));
    List<String> counted = new ArrayList<>();
    traffic.forEach(
        each -> counted.add(each.distance().label() + ' ' + each.messages() + ' ' + each.bytes()));
    assertEquals(counted, List.of("zone 1 10", "other-region 2 25"));
  }

  @Test
  public void envelopesAreCountedByTheTypeOfTheWrappedMessage() {
    AgreementEnvelope envelope = new AgreementEnvelope("c@1", new JoinRequest("d@2", 0));
    assertEquals(LinkTraffic.kindOf(envelope), JoinRequest.class);
  }

  @Test
  public void distanceIsKnownOnlyWhenBothPlacementsAre() {
    assertEquals(PeerDistance.between(SELF, SELF), PeerDistance.ZONE);
    assertEquals(PeerDistance.between(SELF, new Placement("r1", "r1-b")), PeerDistance.REGION);
    assertEquals(
        PeerDistance.between(SELF, new Placement("r2", "r2-a")), PeerDistance.OTHER_REGION);
    assertEquals(PeerDistance.between(null, SELF), PeerDistance.UNKNOWN);
    assertEquals(PeerDistance.between(SELF, null), PeerDistance.UNKNOWN);
  }
}
