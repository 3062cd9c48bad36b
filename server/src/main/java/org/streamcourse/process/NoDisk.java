package org.streamcourse.process;

import java.util.List;

/**
 * The disk of a process without a data folder: it keeps nothing. Only for what may be lost, such as
 * a node's copy of the image, which its first confirmed heartbeat brings back.
 */
public final class NoDisk implements Disk {
  @Override
  public boolean keeps() {
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
    // Nothing is kept.
  }

  @Override
  public void replace(String name, byte[] bytes) {
    // Nothing is kept.
  }

  @Override
  public void delete(String name) {
    // Nothing is there.
  }
}
