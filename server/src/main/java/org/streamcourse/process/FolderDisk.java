package org.streamcourse.process;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** A data folder in the file system; keeps files open for appending. */
public final class FolderDisk implements Disk, AutoCloseable {
  private static final String TEMPORARY_SUFFIX = ".tmp";

  private final Path folder;
  private final Map<String, FileChannel> appending = new HashMap<>();

  /**
   * Opens a folder, creating it when missing.
   *
   * @param folder path of the data folder
   */
  public FolderDisk(Path folder) {
    this.folder = folder;
    try {
      Files.createDirectories(folder);
    } catch (IOException e) {
      throw failure("open", folder.toString(), e);
    }
  }

  @Override
  public synchronized List<String> list() {
    try (Stream<Path> files = Files.list(folder)) {
      return files
          .filter(Files::isRegularFile)
          .map(file -> file.getFileName().toString())
          .filter(name -> !name.endsWith(TEMPORARY_SUFFIX))
          .sorted()
          .toList();
    } catch (IOException e) {
      throw failure("list", folder.toString(), e);
    }
  }

  @Override
  public synchronized byte[] read(String name) {
    Path file = folder.resolve(name);
    try {
      return Files.exists(file) ? Files.readAllBytes(file) : null;
    } catch (IOException e) {
      throw failure("read", name, e);
    }
  }

  @Override
  public synchronized void appendAndSync(String name, byte[] bytes) {
    try {
      FileChannel channel = appending.get(name);
      if (channel == null) {
        channel =
            FileChannel.open(
                folder.resolve(name), StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        appending.put(name, channel);
        syncFolder();
      }
      writeFully(channel, bytes);
      channel.force(false);
    } catch (IOException e) {
      throw failure("append", name, e);
    }
  }

  @Override
  public synchronized void replace(String name, byte[] bytes) {
    Path temporary = folder.resolve(name + TEMPORARY_SUFFIX);
    try {
      closeChannel(name);
      try (FileChannel channel =
          FileChannel.open(
              temporary,
              StandardOpenOption.CREATE,
              StandardOpenOption.WRITE,
              StandardOpenOption.TRUNCATE_EXISTING)) {
        writeFully(channel, bytes);
        channel.force(true);
      }
      Files.move(temporary, folder.resolve(name), StandardCopyOption.ATOMIC_MOVE);
      syncFolder();
    } catch (IOException e) {
      throw failure("replace", name, e);
    }
  }

  @Override
  public synchronized void delete(String name) {
    try {
      closeChannel(name);
      Files.deleteIfExists(folder.resolve(name));
      syncFolder();
    } catch (IOException e) {
      throw failure("delete", name, e);
    }
  }

  @Override
  public synchronized void close() {
    for (String name : List.copyOf(appending.keySet())) {
      try {
        closeChannel(name);
      } catch (IOException e) {
        throw failure("close", name, e);
      }
    }
  }

  private void closeChannel(String name) throws IOException {
    FileChannel channel = appending.remove(name);
    if (channel != null) {
      channel.close();
    }
  }

  private static void writeFully(FileChannel channel, byte[] bytes) throws IOException {
    ByteBuffer buffer = ByteBuffer.wrap(bytes);
    while (buffer.hasRemaining()) {
      channel.write(buffer);
    }
  }

  private void syncFolder() throws IOException {
    try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }

  private StreamcourseException failure(String step, String name, IOException cause) {
    return new StreamcourseException(
        ErrorCode.INTERNAL, "disk-" + step, name, cause.toString(), 0, cause);
  }
}
