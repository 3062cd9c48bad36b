package org.streamcourse.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A process ends after an error on any of its threads, instead of serving without memory. */
public class FatalErrorsTest {
  /** The process of the tests; its argument names the thread on which the error is thrown. */
  public static final class Program {
    private Program() {}

    /** Fails on a thread, then waits. */
    public static void main(String[] arguments) throws InterruptedException {
      FatalErrors.install();
      Runnable fail =
          () -> {
            throw new OutOfMemoryError("test");
          };
      switch (arguments[0]) {
        case "worker" -> new WorkerPool("test", 1).get().execute(fail);
        case "timer" -> new WorkerPool("test", 1).get().schedule(1, fail);
        case "loop" -> new SingleLoop().worker().execute(fail);
        case "thread" -> new Thread(fail).start();
        default ->
            new WorkerPool("test", 1)
                .get()
                .execute(
                    () -> {
                      throw new IllegalStateException("the process goes on");
                    });
      }
      TimeUnit.SECONDS.sleep(arguments[0].equals("exception") ? 1 : 60);
      System.exit(0);
    }
  }

  @DataProvider
  public Object[][] threads() {
    int ends = FatalErrors.EXIT_CODE;
    return new Object[][] {
      {"worker", ends}, {"timer", ends}, {"loop", ends}, {"thread", ends}, {"exception", 0}
    };
  }

  /** Guards against a controller that lives on after an error and answers no call in time. */
  @Test(dataProvider = "threads")
  public void anErrorEndsTheProcessWithALine(String thread, int exitValue) throws Exception {
    Process process =
        new ProcessBuilder(
                List.of(
                    Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                    "-Xmx64m",
                    "-cp",
                    System.getProperty("java.class.path"),
                    Program.class.getName(),
                    thread))
            .redirectErrorStream(true)
            .start();
    String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    assertEquals(process.waitFor(), exitValue, output);
    assertEquals(output.contains("fatal error"), exitValue != 0, output);
    assertTrue(
        output.contains(exitValue == 0 ? "the process goes on" : "OutOfMemoryError"), output);
  }
}
