package org.streamcourse.request.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import org.streamcourse.version.image.TermPosition;
import org.testng.annotations.Test;

/** Tests that floors are found by the time at which the request of a sample was sent. */
public class PrimaryPositionsTest {
  private static TermPosition position(long position) {
    return new TermPosition(1, position);
  }

  @Test
  public void withoutARecentSampleThereIsNoFloor() {
    PrimaryPositions positions = new PrimaryPositions();
    assertNull(positions.floor(1_000, 500));
    positions.add(400, 400, position(7));
    assertNull(positions.floor(1_000, 500));
    assertEquals(positions.floor(900, 500), position(7));
  }

  @Test
  public void theOldestSampleWithinTheAgeIsTheFloor() {
    PrimaryPositions positions = new PrimaryPositions();
    positions.add(100, 100, position(1));
    positions.add(200, 200, position(2));
    positions.add(300, 300, position(3));
    assertEquals(positions.floor(400, 1_000), position(1));
    assertEquals(positions.floor(400, 250), position(2));
    assertEquals(positions.floor(400, 100), position(3));
    assertEquals(positions.newest(), position(3));
  }

  @Test
  public void oldSamplesAreRemoved() {
    PrimaryPositions positions = new PrimaryPositions();
    positions.add(100, 100, position(1));
    positions.add(60_000, 60_000, position(2));
    assertEquals(positions.floor(60_000, 100_000), position(2));
  }
}
