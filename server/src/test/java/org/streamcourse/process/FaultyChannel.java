package org.streamcourse.process;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A file whose writes, syncs and truncations fail when a test says so. */
final class FaultyChannel extends FileChannel {
  /** The step that fails. */
  enum Fault {
    NONE,
    /** Half of the bytes are written. */
    HALF_WRITTEN,
    /** All bytes are written, and the sync fails. */
    UNSYNCED,
    /** Nothing is written. */
    REFUSED
  }

  /** Faults of the files of one disk. */
  static final class Faults {
    Fault next = Fault.NONE;
    boolean truncationFails;

    /** Names of the files that were synced, in order. */
    final List<String> synced = new ArrayList<>();
  }

  private final String name;
  private final FileChannel file;
  private final Faults faults;

  FaultyChannel(Path name, FileChannel file, Faults faults) {
    this.name = name.toString();
    this.file = file;
    this.faults = faults;
  }

  private IOException fail() {
    faults.next = Fault.NONE;
    return new IOException("No space left on device");
  }

  @Override
  public int write(ByteBuffer source) throws IOException {
    if (faults.next == Fault.REFUSED) {
      throw fail();
    }
    if (faults.next == Fault.HALF_WRITTEN) {
      source.limit(source.position() + source.remaining() / 2);
      file.write(source);
      throw fail();
    }
    return file.write(source);
  }

  @Override
  public void force(boolean metaData) throws IOException {
    if (faults.next == Fault.UNSYNCED) {
      throw fail();
    }
    file.force(metaData);
    faults.synced.add(name);
  }

  @Override
  public FileChannel truncate(long size) throws IOException {
    if (faults.truncationFails) {
      throw fail();
    }
    file.truncate(size);
    return this;
  }

  @Override
  public long size() throws IOException {
    return file.size();
  }

  @Override
  protected void implCloseChannel() throws IOException {
    file.close();
  }

  @Override
  public int read(ByteBuffer target) {
    throw new UnsupportedOperationException();
  }

  @Override
  public long read(ByteBuffer[] targets, int offset, int length) {
    throw new UnsupportedOperationException();
  }

  @Override
  public int read(ByteBuffer target, long position) {
    throw new UnsupportedOperationException();
  }

  @Override
  public long write(ByteBuffer[] sources, int offset, int length) {
    throw new UnsupportedOperationException();
  }

  @Override
  public int write(ByteBuffer source, long position) {
    throw new UnsupportedOperationException();
  }

  @Override
  public long position() {
    throw new UnsupportedOperationException();
  }

  @Override
  public FileChannel position(long newPosition) {
    throw new UnsupportedOperationException();
  }

  @Override
  public long transferTo(long position, long count, WritableByteChannel target) {
    throw new UnsupportedOperationException();
  }

  @Override
  public long transferFrom(ReadableByteChannel source, long position, long count) {
    throw new UnsupportedOperationException();
  }

  @Override
  public MappedByteBuffer map(MapMode mode, long position, long size) {
    throw new UnsupportedOperationException();
  }

  @Override
  public FileLock lock(long position, long size, boolean shared) {
    throw new UnsupportedOperationException();
  }

  @Override
  public FileLock tryLock(long position, long size, boolean shared) {
    throw new UnsupportedOperationException();
  }
}
