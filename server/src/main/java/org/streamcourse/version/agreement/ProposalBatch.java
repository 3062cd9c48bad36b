package org.streamcourse.version.agreement;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.streamcourse.process.StreamcourseException;
import org.streamcourse.process.Worker;

/** Batches the commands proposed within one task of the worker, so that they share one sync. */
final class ProposalBatch {
  private final Worker worker;
  private final Consumer<List<byte[]>> append;
  private final Runnable failed;
  private final List<byte[]> commands = new ArrayList<>();

  /**
   * Creates an empty batch.
   *
   * @param worker worker on which all methods run
   * @param append appends commands to the log
   * @param failed called when that has failed, for instance because the disk is full
   */
  ProposalBatch(Worker worker, Consumer<List<byte[]>> append, Runnable failed) {
    this.worker = worker;
    this.append = append;
    this.failed = failed;
  }

  void add(byte[] command) {
    if (commands.isEmpty()) {
      worker.execute(this::flush);
    }
    commands.add(command);
  }

  private void flush() {
    List<byte[]> batch = List.copyOf(commands);
    commands.clear();
    try {
      append.accept(batch);
    } catch (StreamcourseException e) {
      failed.run();
      throw e;
    }
  }
}
