package org.streamcourse.version.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.streamcourse.process.FaultyDisk;
import org.streamcourse.process.MemoryDisk;
import org.streamcourse.process.MessageCodec;
import org.streamcourse.process.StreamcourseException;
import org.streamcourse.request.StreamTypes;
import org.streamcourse.version.image.ClusterChange;
import org.streamcourse.version.image.ClusterDelta;
import org.streamcourse.version.image.ClusterImage;
import org.streamcourse.version.image.NodeImage;
import org.streamcourse.version.image.Placement;
import org.testng.annotations.Test;

/**
 * The newest stored image is loaded after a stop at any point, also with a partially written delta.
 */
public class ImageStoreTest {
  private static final int VERSIONS = 3_000;

  private final MessageCodec codec = StreamTypes.codec();
  private final MemoryDisk disk = new MemoryDisk();
  private final ImageStore store = new ImageStore(disk, codec);

  private static ClusterDelta delta(ClusterImage image) {
    String name = "node" + image.version() % 50;
    NodeImage node =
        new NodeImage(name, image.version() + 1, "127.0.0.1", 1, new Placement("r", "z"), false);
    return new ClusterDelta(image.version(), List.of(new ClusterChange.NodeAdmitted(node)));
  }

  @Test
  public void theNewestVersionIsLoaded() {
    ClusterImage image = ClusterImage.EMPTY;
    int largest = 0;
    for (int i = 0; i < VERSIONS; i++) {
      ClusterDelta delta = delta(image);
      image = image.apply(delta);
      store.save(delta, image);
      if (i % 97 == 0) {
        assertEquals(new ImageStore(copyOf(disk), codec).load(), image);
      }
      largest = Math.max(largest, disk.list().stream().mapToInt(n -> disk.read(n).length).sum());
    }
    assertTrue(
        largest < 200_000, "the deltas are merged into the image from time to time: " + largest);
  }

  @Test
  public void tornLastDeltaIsDroppedAndOldOnesAreSkipped() {
    MemoryDisk torn = new MemoryDisk();
    ImageStore first = new ImageStore(torn, codec);
    ClusterImage one = ClusterImage.EMPTY.apply(delta(ClusterImage.EMPTY));
    first.save(delta(ClusterImage.EMPTY), one);
    ClusterImage two = one.apply(delta(one));
    first.save(delta(one), two);
    byte[] deltas = torn.read("image-deltas");
    torn.replace("image-deltas", Arrays.copyOf(deltas, deltas.length - 1));
    assertEquals(new ImageStore(torn, codec).load(), one);
    // State after a crash between writing the whole image and deleting the deltas.
    torn.replace("image-deltas", deltas);
    assertEquals(new ImageStore(torn, codec).load(), two);
  }

  /** Guards against a restart with an older image than the one that was stored last. */
  @Test
  public void aVersionStoredAfterAFailedSaveIsLoaded() {
    for (int writes = 0; writes < 2; writes++) {
      MemoryDisk files = new MemoryDisk();
      FaultyDisk faulty = new FaultyDisk(files);
      ImageStore failing = new ImageStore(faulty, codec);
      ClusterImage one = ClusterImage.EMPTY.apply(delta(ClusterImage.EMPTY));
      failing.save(delta(ClusterImage.EMPTY), one);
      ClusterImage two = one.apply(delta(one));
      faulty.failOnceAfter(writes, FaultyDisk.Fault.NOTHING_WRITTEN);
      expectThrows(StreamcourseException.class, () -> failing.save(two));
      ClusterImage three = two.apply(delta(two));
      List<ClusterChange> changes = new ArrayList<>(delta(one).changes());
      changes.addAll(delta(two).changes());
      failing.save(new ClusterDelta(one.version(), changes), three);
      assertEquals(new ImageStore(files, codec).load(), three, "failed write " + writes);
    }
  }

  private static MemoryDisk copyOf(MemoryDisk disk) {
    MemoryDisk copy = new MemoryDisk();
    disk.list().forEach(name -> copy.replace(name, disk.read(name)));
    return copy;
  }
}
