package org.streamcourse.process;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;

/**
 * A file that is open for appending.
 *
 * <p>Invariant: bytes are appended only behind bytes whose append has succeeded. After a failed
 * append the file is cut back to its former length, and while that fails, so does every append.
 */
final class AppendFile implements AutoCloseable {
  private final FileChannel channel;

  /** Length of the file without the bytes of failed appends. */
  private long length;

  private boolean cutBackDue;

  /**
   * Wraps an open channel.
   *
   * @param channel channel that writes at the end of the file; closed by {@link #close}
   */
  AppendFile(FileChannel channel) throws IOException {
    this.channel = channel;
    this.length = channel.size();
  }

  /**
   * Appends bytes and syncs them.
   *
   * @param bytes bytes to append
   */
  void appendAndSync(byte[] bytes) throws IOException {
    if (cutBackDue) {
      cutBack();
    }
    try {
      writeFully(channel, bytes);
      channel.force(false);
    } catch (IOException e) {
      cutBackDue = true;
      cutBackAfter(e);
      throw e;
    }
    length += bytes.length;
  }

  private void cutBackAfter(IOException failure) {
    try {
      cutBack();
    } catch (IOException e) {
      failure.addSuppressed(e);
    }
  }

  private void cutBack() throws IOException {
    channel.truncate(length);
    channel.force(false);
    cutBackDue = false;
  }

  /** Writes all bytes at a channel's position. */
  static void writeFully(FileChannel channel, byte[] bytes) throws IOException {
    ByteBuffer buffer = ByteBuffer.wrap(bytes);
    while (buffer.hasRemaining()) {
      channel.write(buffer);
    }
  }

  @Override
  public void close() throws IOException {
    channel.close();
  }
}
