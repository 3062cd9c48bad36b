package org.streamcourse.lab.simulation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Function;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.Test;

/** Checks what a power loss during a write leaves on a simulated disk. */
public class SimDiskTest {
  private static final int DRAWS = 200;
  private static final byte[] BEFORE = {1, 2};
  private static final byte[] ADDED = {3, 4, 5};

  private static Set<Integer> lengthsAfter(Consumer<SimDisk> write) {
    return outcomes(
        write,
        disk -> {
          byte[] content = disk.read("file");
          return content == null ? -1 : content.length;
        });
  }

  private static <T> Set<T> outcomes(Consumer<SimDisk> write, Function<SimDisk, T> outcome) {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(1);
    Set<T> found = new TreeSet<>();
    for (int i = 0; i < DRAWS; i++) {
      SimDisk disk = new SimDisk();
      disk.replace("file", BEFORE);
      disk.losePowerDuringWrite(random);
      assertThrows(SimDisk.CrashException.class, () -> write.accept(disk));
      disk.losePower();
      found.add(outcome.apply(disk));
    }
    return found;
  }

  @Test
  public void interruptedAppendIsAbsentTornOrComplete() {
    assertEquals(lengthsAfter(disk -> disk.appendAndSync("file", ADDED)), Set.of(2, 3, 4, 5));
  }

  @Test
  public void interruptedReplacementLeavesTheOldOrTheNewFile() {
    assertEquals(lengthsAfter(disk -> disk.replace("file", ADDED)), Set.of(2, 3));
  }

  @Test
  public void interruptedDeleteLeavesTheFileOrNone() {
    assertEquals(lengthsAfter(disk -> disk.delete("file")), Set.of(-1, 2));
  }

  @Test
  public void powerLossBetweenWritesLosesNothing() {
    SimDisk disk = new SimDisk();
    disk.replace("file", BEFORE);
    disk.appendAndSync("file", ADDED);
    disk.losePower();
    assertEquals(disk.read("file"), new byte[] {1, 2, 3, 4, 5});
  }
}
