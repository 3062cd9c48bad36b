package org.streamcourse.lab.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.streamcourse.lab.soak.SoakHistory.Configuration;
import org.streamcourse.lab.soak.SoakHistory.Explained;
import org.streamcourse.lab.workload.Journal.Acknowledged;
import org.streamcourse.lab.workload.Journal.AgedRead;
import org.streamcourse.lab.workload.Journal.OwnRead;
import org.streamcourse.lab.workload.WriteOutcome;
import org.streamcourse.version.image.TermPosition;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Each check reports a history that violates its guarantee, and passes one that does not. */
public class SoakCheckTest {
  private static final String ONE = "group1";
  private static final String TWO = "group2";

  /** Two groups; one changes its primary while a write to the old primary is outstanding. */
  private static SoakHistory validHistory() {
    return new SoakHistory(
        Map.of(
            "group1-1-1", WriteOutcome.ACKNOWLEDGED,
            "group1-1-2", WriteOutcome.UNKNOWN,
            "group1-1-3", WriteOutcome.UNKNOWN,
            "group1-1-4", WriteOutcome.NOT_RUN,
            "group2-2-1", WriteOutcome.ACKNOWLEDGED),
        Map.of("group1-1-1", 1, "group1-1-2", 1, "group2-2-1", 1),
        List.of(new OwnRead("group1-1-1", 1)),
        List.of(new AgedRead(ONE, 1_500, 1_500), new AgedRead(TWO, 0, 1_500)),
        List.of(
            new Acknowledged(ONE, 10, 60, new TermPosition(1, 7)),
            new Acknowledged(ONE, 20, 50, new TermPosition(2, 9)),
            new Acknowledged(TWO, 70, 80, new TermPosition(1, 3))),
        List.of(),
        new Configuration(4, 5),
        Map.of("p1/group1", SoakCheck.RECOVERY_SECONDS, "p1/group2", 0.2),
        List.of(new Explained("p1-a-1-1", 2, true)));
  }

  @DataProvider
  public Object[][] checks() {
    return Stream.of(SoakCheck.values())
        .map(check -> new Object[] {check})
        .toArray(Object[][]::new);
  }

  @Test(dataProvider = "checks")
  public void passesAValidHistory(SoakCheck check) {
    assertEquals(check.violations(validHistory()), List.of());
  }

  @Test(dataProvider = "checks")
  public void reportsOnlyTheViolationOfItsOwnGuarantee(SoakCheck check) {
    SoakHistory violating = BrokenHistory.withViolation(validHistory(), check);
    assertFalse(check.violations(violating).isEmpty(), check.label());
    for (SoakCheck other : SoakCheck.values()) {
      assertTrue(other == check || other.violations(violating).isEmpty(), other.label());
    }
  }

  @Test
  public void labelsDiffer() {
    long labels = Arrays.stream(SoakCheck.values()).map(SoakCheck::label).distinct().count();
    assertEquals(labels, SoakCheck.values().length);
  }
}
