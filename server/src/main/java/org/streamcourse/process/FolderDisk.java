package org.streamcourse.process;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.OpenOption;
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

  /** Opens a file. */
  @FunctionalInterface
  interface ChannelOpener {
    FileChannel open(Path file, OpenOption... options) throws IOException;
  }

  private final Path folder;
  private final ChannelOpener opener;
  private final Map<String, AppendFile> appending = new HashMap<>();

  /**
   * Opens a folder, creating it when missing.
   *
   * @param folder path of the data folder
   */
  public FolderDisk(Path folder) {
    this(folder, FileChannel::open);
  }

  FolderDisk(Path folder, ChannelOpener opener) {
    this.folder = folder;
    this.opener = opener;
    try {
      Files.createDirectories(folder);
      // A process that was killed may have renamed or removed files without syncing the folder.
      syncFolder();
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
      AppendFile file = appending.get(name);
      if (file == null) {
        file = openForAppend(name);
        appending.put(name, file);
      }
      file.appendAndSync(bytes);
    } catch (IOException e) {
      throw failure("append", name, e);
    }
  }

  @Override
  public synchronized void replace(String name, byte[] bytes) {
    Path temporary = folder.resolve(name + TEMPORARY_SUFFIX);
    try {
      try (FileChannel channel =
          opener.open(
              temporary,
              StandardOpenOption.CREATE,
              StandardOpenOption.WRITE,
              StandardOpenOption.TRUNCATE_EXISTING)) {
        AppendFile.writeFully(channel, bytes);
        channel.force(true);
      }
      Files.move(temporary, folder.resolve(name), StandardCopyOption.ATOMIC_MOVE);
      closeFile(name);
      syncFolder();
    } catch (IOException e) {
      throw failure("replace", name, e);
    }
  }

  @Override
  public synchronized void delete(String name) {
    try {
      Files.deleteIfExists(folder.resolve(name));
      closeFile(name);
      syncFolder();
    } catch (IOException e) {
      throw failure("delete", name, e);
    }
  }

  @Override
  public synchronized void close() {
    for (String name : List.copyOf(appending.keySet())) {
      try {
        closeFile(name);
      } catch (IOException e) {
        throw failure("close", name, e);
      }
    }
  }

  private AppendFile openForAppend(String name) throws IOException {
    AppendFile file =
        new AppendFile(
            opener.open(
                folder.resolve(name), StandardOpenOption.CREATE, StandardOpenOption.APPEND));
    try {
      syncFolder();
    } catch (IOException e) {
      file.close();
      throw e;
    }
    return file;
  }

  private void closeFile(String name) throws IOException {
    AppendFile file = appending.remove(name);
    if (file != null) {
      file.close();
    }
  }

  private void syncFolder() throws IOException {
    try (FileChannel channel = opener.open(folder, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }

  private StreamcourseException failure(String step, String name, IOException cause) {
    return new StreamcourseException(
        ErrorCode.INTERNAL, "disk-" + step, name, cause.toString(), 0, cause);
  }
}
