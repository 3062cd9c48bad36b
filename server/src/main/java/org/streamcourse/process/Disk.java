package org.streamcourse.process;

import java.util.List;

/**
 * Files of one data folder. A write counts as durable only after the call that synced it returned.
 * The simulator replaces this interface by a disk that loses or tears what was not synced.
 */
public interface Disk {
  /**
   * Tells whether anything is found again, so that it is worth being encoded.
   *
   * @return false for a process without a data folder
   */
  default boolean keeps() {
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
   * Appends to a file and syncs it; on return the bytes are durable.
   *
   * @param name file name; created when missing
   * @param bytes what to append
   */
  void appendAndSync(String name, byte[] bytes);

  /**
   * Replaces a file as a whole; after a crash either the old or the new content is found.
   *
   * @param name file name
   * @param bytes new content
   */
  void replace(String name, byte[] bytes);

  /**
   * Deletes a file; no error when it is missing.
   *
   * @param name file name
   */
  void delete(String name);
}
