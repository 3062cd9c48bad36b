import static java.nio.file.StandardOpenOption.APPEND;
import static java.nio.file.StandardOpenOption.CREATE;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: what was sent, answered and run, a line each with its time, added to the file. */
final class Record implements AutoCloseable {
  private final PrintWriter lines;

  Record(Path file) throws IOException {
    lines = new PrintWriter(Files.newBufferedWriter(file, CREATE, APPEND), true);
  }

  synchronized void write(String text) {
    lines.printf("%8.3f %s%n", Clock.now() / 1_000.0, text);
  }

  @Override
  public synchronized void close() {
    lines.close();
  }
}
