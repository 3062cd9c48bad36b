package org.streamcourse.process;

import java.util.List;

/**
 * The disk of a process without a data folder; discards all writes. Suits only data that may be
 * lost, such as a node's copy of the image, which the reply to its first confirmed heartbeat
 * restores.
 */
public final class NoDisk implements Disk {
  @Override
  public boolean isPersistent() {
    return false;
  }

  @Override
  public List<String> list() {
    return List.of();
  }

  @Override
  public byte[] read(String name) {
    return null;
  }

  @Override
  public void appendAndSync(String name, byte[] bytes) {
    // Writes are discarded.
  }

  @Override
  public void replace(String name, byte[] bytes) {
    // Writes are discarded.
  }

  @Override
  public void delete(String name) {
    // There are no files.
  }
}
