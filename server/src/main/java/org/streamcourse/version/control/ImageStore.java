package org.streamcourse.version.control;

import java.nio.ByteBuffer;
import org.streamcourse.process.Disk;
import org.streamcourse.process.Frames;
import org.streamcourse.process.MessageCodec;
import org.streamcourse.version.image.ClusterDelta;
import org.streamcourse.version.image.ClusterImage;

/**
 * Stores a node's newest image on disk: a whole image and the deltas that followed it, so that
 * storing a version writes the bytes of its changes and not those of the image. The whole image is
 * written again when the deltas have become as large as the image.
 *
 * <p>Invariant: loading returns the version stored last or a newer one. A crash between writing the
 * whole image and deleting the deltas leaves deltas of older versions, which are skipped.
 */
final class ImageStore {
  private static final String IMAGE_FILE = "image";
  private static final String DELTAS_FILE = "image-deltas";
  private static final int MIN_DELTA_BYTES = 64 * 1024;

  private final Disk disk;
  private final MessageCodec codec;
  private int imageBytes;
  private int deltaBytes;

  /**
   * Whether a save has failed, so that the files may not end with the version of the next delta.
   */
  private boolean saveFailed;

  /**
   * Creates a store.
   *
   * @param disk data folder
   * @param codec codec that knows the image's types
   */
  ImageStore(Disk disk, MessageCodec codec) {
    this.disk = disk;
    this.codec = codec;
  }

  /**
   * Loads the newest image. A partially written last delta is dropped, since it never came into
   * force.
   */
  ClusterImage load() {
    byte[] whole = disk.read(IMAGE_FILE);
    ClusterImage image = whole == null ? ClusterImage.EMPTY : (ClusterImage) codec.decode(whole);
    byte[] deltas = disk.read(DELTAS_FILE);
    if (deltas == null) {
      return image;
    }
    ByteBuffer buffer = ByteBuffer.wrap(deltas);
    byte[] payload = Frames.read(buffer);
    while (payload != null) {
      ClusterDelta delta = (ClusterDelta) codec.decode(payload);
      image = delta.fromVersion() == image.version() ? image.apply(delta) : image;
      payload = buffer.hasRemaining() ? Frames.read(buffer) : null;
    }
    save(image);
    return image;
  }

  /** Stores a whole image. */
  void save(ClusterImage image) {
    if (!disk.isPersistent()) {
      return;
    }
    byte[] whole = codec.encode(image);
    saveFailed = true;
    disk.replace(IMAGE_FILE, whole);
    disk.delete(DELTAS_FILE);
    imageBytes = whole.length;
    deltaBytes = 0;
    saveFailed = false;
  }

  /** Stores the delta from the image stored last to the next one. */
  void save(ClusterDelta delta, ClusterImage next) {
    if (!disk.isPersistent()) {
      return;
    }
    byte[] frame = Frames.write(codec.encode(delta));
    if (saveFailed || deltaBytes + frame.length > Math.max(MIN_DELTA_BYTES, imageBytes)) {
      save(next);
      return;
    }
    saveFailed = true;
    disk.appendAndSync(DELTAS_FILE, frame);
    saveFailed = false;
    deltaBytes += frame.length;
  }
}
