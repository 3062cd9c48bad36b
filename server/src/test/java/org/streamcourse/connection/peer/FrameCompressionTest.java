package org.streamcourse.connection.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.streamcourse.process.StreamcourseException;
import org.testng.annotations.Test;

/** Frames decode to the original message, and corrupt frames are refused. */
public class FrameCompressionTest {
  private static byte[] text(int times) {
    return "route of a service, ".repeat(times).getBytes(StandardCharsets.UTF_8);
  }

  @Test
  public void shortAndLongMessagesRoundTrip() {
    for (int times : new int[] {0, 1, 10, 1_000, 100_000}) {
      assertEquals(FrameCompression.unpack(FrameCompression.pack(text(times))), text(times));
    }
  }

  @Test
  public void longMessagesAreCompressed() {
    assertTrue(FrameCompression.pack(text(1_000)).length < text(1_000).length / 10);
  }

  @Test
  public void corruptFramesAreRefused() {
    byte[] frame = FrameCompression.pack(text(1_000));
    byte[] cut = Arrays.copyOf(frame, frame.length / 2);
    byte[] changed = frame.clone();
    changed[1] ^= 0x55;
    assertThrows(StreamcourseException.class, () -> FrameCompression.unpack(new byte[0]));
    assertThrows(StreamcourseException.class, () -> FrameCompression.unpack(cut));
    assertThrows(StreamcourseException.class, () -> FrameCompression.unpack(changed));
  }
}
