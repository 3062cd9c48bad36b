package org.streamcourse.version.agreement;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.streamcourse.process.Worker;

/** Batches the commands proposed within one task of the worker, so that they share one sync. */
final class ProposalBatch {
  private final Worker worker;
  private final Consumer<List<byte[]>> append;
  private final List<byte[]> commands = new ArrayList<>();

  ProposalBatch(Worker worker, Consumer<List<byte[]>> append) {
    this.worker = worker;
    this.append = append;
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
    append.accept(batch);
  }
}
