package org.streamcourse.version.agreement;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.streamcourse.process.Worker;

/** Gathers the commands that are proposed within one turn of the worker, which share one sync. */
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
      worker.execute(this::end);
    }
    commands.add(command);
  }

  private void end() {
    List<byte[]> ended = List.copyOf(commands);
    commands.clear();
    append.accept(ended);
  }
}
