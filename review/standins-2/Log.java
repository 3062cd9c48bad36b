package standins2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** The record of a case: what was sent, answered and run, with the time since the start. */
public final class Log {
  private final PrintWriter out;
  private final long started = System.nanoTime();

  public Log(Path file) throws IOException {
    out =
        new PrintWriter(
            Files.newBufferedWriter(
                file,
                StandardCharsets.ISO_8859_1,
                StandardOpenOption.CREATE,
                StandardOpenOption.APPEND));
  }

  public long millis() {
    return (System.nanoTime() - started) / 1_000_000;
  }

  public synchronized void line(String text) {
    out.printf("%7d %s%n", millis(), text.replace("\n", "\\n").replace("\r", "\\r"));
    out.flush();
  }

  /** Writes a line to the record and to standard output. */
  public synchronized void say(String text) {
    line(text);
    System.out.println(text);
  }
}
