package org.streamcourse.version.image;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.streamcourse.version.image.ClusterChange.PrimaryChosen;
import org.streamcourse.version.image.ClusterChange.PrimaryHandedOver;
import org.streamcourse.version.image.ClusterChange.TermOpened;
import org.testng.annotations.Test;

/**
 * Of two concurrent changes of a group's primary, the one that is first in the log takes effect.
 */
public class ClusterImageTest {
  private static final String GROUP = "bookings";

  private static ClusterImage image(long term, String primary) {
    GroupImage group = new GroupImage(GROUP, term, primary, List.of(), GroupRules.DEFAULT);
    return new ClusterImage(1, 1, new TreeMap<>(Map.of(GROUP, group)), new TreeMap<>());
  }

  private static String after(ClusterImage image, ClusterChange... changes) {
    ClusterImage next = image;
    for (ClusterChange change : changes) {
      next = next.apply(change);
    }
    GroupImage group = next.groups().get(GROUP);
    return group.primary() + '@' + group.term();
  }

  @Test
  public void handOverAppliesToTheNextTermOnly() {
    PrimaryHandedOver handOver = new PrimaryHandedOver(GROUP, 4, "m2");
    assertEquals(after(image(3, "m1"), handOver), "m2@4");
    assertEquals(after(image(4, "m1"), handOver), "m1@4", "the term is open already");
    assertEquals(after(image(2, "m1"), handOver), "m1@2", "the term is not the next one");
  }

  @Test
  public void firstOfTwoConcurrentChangesTakesEffect() {
    PrimaryHandedOver handOver = new PrimaryHandedOver(GROUP, 4, "m2");
    TermOpened opened = new TermOpened(GROUP, 4);
    PrimaryChosen chosen = new PrimaryChosen(GROUP, 4, "m3");
    assertEquals(after(image(3, "m1"), opened, handOver, chosen), "m3@4");
    assertEquals(after(image(3, "m1"), handOver, opened, chosen), "m2@4");
    assertEquals(after(image(3, ""), handOver), "@3", "the term has no primary to hand over from");
  }
}
