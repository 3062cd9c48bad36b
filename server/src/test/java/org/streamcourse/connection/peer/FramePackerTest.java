package org.streamcourse.connection.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.streamcourse.process.MessageCodec;
import org.streamcourse.process.StreamcourseException;
import org.streamcourse.request.StreamTypes;
import org.streamcourse.version.control.ControlMessage.MemberReport;
import org.streamcourse.version.control.ControlMessage.NodeHeartbeat;
import org.streamcourse.version.control.MemberRole;
import org.streamcourse.version.control.MemberStatus;
import org.streamcourse.version.image.NodeImage;
import org.streamcourse.version.image.Placement;
import org.streamcourse.version.image.TermPosition;
import org.testng.annotations.Test;

/**
 * Repeated content takes few bytes on links to another region, and frames decode to the original
 * messages.
 */
public class FramePackerTest {
  private static final int HEARTBEATS = 200;
  private static final int MEMBERS = 6;

  private final MessageCodec codec = StreamTypes.codec();

  private byte[] heartbeat(int number) {
    List<MemberReport> reports = new ArrayList<>();
    for (int i = 0; i < MEMBERS; i++) {
      TermPosition position = new TermPosition(1, number * 12L + i);
      MemberStatus status =
          new MemberStatus(1, MemberRole.REPLICA, "", position, position, position);
      reports.add(new MemberReport("service-" + i, "member-" + i + "-run-1", true, status));
    }
    Placement placement = new Placement("region-1", "region-1-a");
    NodeImage self = new NodeImage("10.0.0.7:7000", 1, "10.0.0.7", 7_000, placement, false);
    return codec.encode(new NodeHeartbeat(self, number, 120, 0, false, 4, false, reports));
  }

  @Test
  public void heartbeatsToAnotherRegionTakeAThirdOfTheirBytes() {
    FramePacker packer = new FramePacker();
    FrameReader reader = new FrameReader();
    long plain = 0;
    long packed = 0;
    for (int i = 0; i < HEARTBEATS; i++) {
      byte[] message = heartbeat(i);
      byte[] frame = packer.pack(message, true);
      assertEquals(reader.read(frame), message);
      plain += message.length;
      packed += frame.length;
    }
    assertTrue(3 * packed < plain, packed + " bytes for " + plain);
  }

  @Test
  public void messagesOfAllLengthsRoundTripInOrder() {
    FramePacker packer = new FramePacker();
    FrameReader reader = new FrameReader();
    Random random = new Random(3);
    for (int i = 0; i < 2_000; i++) {
      byte[] message = new byte[random.nextInt(i % 50 == 0 ? 40_000 : 900)];
      for (int at = 0; at < message.length; at++) {
        message[at] = (byte) random.nextInt(1 + i % 250);
      }
      assertEquals(reader.read(packer.pack(message, random.nextInt(20) > 0)), message);
    }
  }

  @Test
  public void linksWithinARegionAndLinksWithFewMessagesHaveNoStream() {
    FramePacker sameRegion = new FramePacker();
    for (int i = 0; i < HEARTBEATS; i++) {
      assertTrue(sameRegion.pack(heartbeat(i), false)[0] != FrameCompression.STREAM);
    }
    FramePacker fewMessages = new FramePacker();
    assertTrue(fewMessages.pack(heartbeat(0), true)[0] != FrameCompression.STREAM);
  }

  @Test
  public void aClosedPackerCompressesMessagesSeparately() {
    FramePacker packer = new FramePacker();
    for (int i = 0; i < HEARTBEATS; i++) {
      packer.pack(heartbeat(i), true);
    }
    packer.close();
    byte[] message = heartbeat(1);
    assertEquals(new FrameReader().read(packer.pack(message, true)), message);
  }

  @Test
  public void corruptAndOversizedStreamsAreRefused() {
    byte[] frame = new byte[100];
    new Random(1).nextBytes(frame);
    frame[0] = FrameCompression.STREAM;
    assertThrows(StreamcourseException.class, () -> new FrameReader().read(frame));
    byte[] oversized = new byte[FramePacker.MAX_STREAM_BYTES * 4];
    assertThrows(StreamcourseException.class, () -> new FrameReader().read(streamOf(oversized)));
  }

  private static byte[] streamOf(byte[] content) {
    java.util.zip.Deflater deflater = new java.util.zip.Deflater(1, true);
    deflater.setInput(content);
    byte[] out = new byte[content.length];
    int length = deflater.deflate(out, 1, out.length - 1, java.util.zip.Deflater.SYNC_FLUSH);
    deflater.end();
    out[0] = FrameCompression.STREAM;
    return java.util.Arrays.copyOf(out, 1 + length - FramePacker.FLUSH_MARKER.length);
  }
}
