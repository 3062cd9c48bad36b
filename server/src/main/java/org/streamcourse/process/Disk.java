package org.streamcourse.process;

import java.util.List;

/**
 * The files of one data folder. A write is durable only after the call that syncs it has returned.
 * The simulator implements this interface with a disk that loses or tears unsynced writes.
 */
public interface Disk {
  /**
   * Returns whether stored files survive a restart. If not, callers need not encode data.
   *
   * @return false for a process without a data folder
   */
  default boolean isPersistent() {
    return true;
  }

  /**
   * Lists the files.
   *
   * @return names in ascending order
   */
  List<String> list();

  /**
   * Reads a whole file.
   *
   * @param name file name
   * @return content, or null when there is no such file
   */
  byte[] read(String name);

  /**
   * Appends to a file and syncs it; on return the bytes are durable. If that fails, no append to
   * the file succeeds before the bytes are removed from it.
   *
   * @param name file name; created when missing
   * @param bytes bytes to append
   */
  void appendAndSync(String name, byte[] bytes);

  /**
   * Syncs what a killed process may have written to a file without a sync; on return the content is
   * durable.
   *
   * @param name file name
   */
  default void sync(String name) {
    appendAndSync(name, new byte[0]);
  }

  /**
   * Replaces a file as a whole; after a crash the file has either the old or the new content.
   *
   * @param name file name
   * @param bytes new content
   */
  void replace(String name, byte[] bytes);

  /**
   * Deletes a file; a missing file is not an error.
   *
   * @param name file name
   */
  void delete(String name);
}
