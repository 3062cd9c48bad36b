package org.streamcourse.request.edge;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import org.streamcourse.process.FleetKey;
import org.streamcourse.process.StreamcourseException;
import org.streamcourse.version.image.TermPosition;
import org.testng.annotations.Test;

/** Floor tokens are accepted only unchanged, with the fleet's key and for their own group. */
public class FloorTokenTest {
  private static final FleetKey KEY = new FleetKey("fleet");
  private static final TermPosition FLOOR = new TermPosition(3, 4711);

  @Test
  public void decodesAnUnchangedToken() {
    String token = FloorToken.write(KEY, "bookings", FLOOR);
    assertEquals(FloorToken.read(KEY, "bookings", token), FLOOR);
  }

  @Test
  public void refusesEveryDamagedCharacter() {
    String token = FloorToken.write(KEY, "bookings", FLOOR);
    // Skips the last character of each part: it may hold unused bits, which decoding ignores.
    for (int i = 0; i < token.length() - 1; i++) {
      char other = token.charAt(i) == 'A' ? 'B' : 'A';
      String damaged = token.substring(0, i) + other + token.substring(i + 1);
      if (damaged.indexOf('.') == token.indexOf('.') && i + 1 == token.indexOf('.')) {
        continue;
      }
      assertThrows(StreamcourseException.class, () -> FloorToken.read(KEY, "bookings", damaged));
    }
  }

  @Test
  public void refusesOtherFleetsAndGroups() {
    String token = FloorToken.write(KEY, "bookings", FLOOR);
    assertThrows(
        StreamcourseException.class,
        () -> FloorToken.read(new FleetKey("other"), "bookings", token));
    assertThrows(StreamcourseException.class, () -> FloorToken.read(KEY, "ledger", token));
    assertThrows(StreamcourseException.class, () -> FloorToken.read(KEY, "bookings", ""));
  }
}
