package org.streamcourse.lab.fleet;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One process that the lab started, and how to start it again. */
public final class FleetProcess {
  private static final String CLASS_PATH = System.getProperty("java.class.path");

  private static final String LOG_LEVEL_VARIABLE = "STREAMCOURSE_LOG_LEVEL";

  private final String name;
  private final List<String> command;
  private final File log;
  private Process process;
  private boolean ended;
  private String logLevel;

  /**
   * Describes a process.
   *
   * @param name name for its log file
   * @param heapMegabytes largest heap
   * @param mainClass class to run
   * @param arguments its arguments
   * @param folder folder for the log file
   */
  public FleetProcess(
      String name, int heapMegabytes, Class<?> mainClass, List<String> arguments, Path folder) {
    this.name = name;
    this.log = folder.resolve(name + ".log").toFile();
    command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(
        List.of(
            "-Xmx" + heapMegabytes + "m",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xshare:auto",
            "-cp",
            CLASS_PATH,
            mainClass.getName()));
    command.addAll(arguments);
  }

  /**
   * Lets it log at a level, whatever level the lab itself runs with.
   *
   * @param level such as {@code INFO}
   */
  public void logAt(String level) {
    logLevel = level;
  }

  /**
   * Starts it, or starts it again after it has ended.
   *
   * @throws IOException when the process can't be started
   */
  public void start() throws IOException {
    launch(command);
  }

  /**
   * Starts it again without one of its arguments.
   *
   * @param argument such as {@code --bootstrap}, which is for the first start only
   * @throws IOException when the process can't be started
   */
  public void startWithout(String argument) throws IOException {
    launch(command.stream().filter(each -> !each.equals(argument)).toList());
  }

  private synchronized void launch(List<String> words) throws IOException {
    if (ended) {
      throw new IllegalStateException(name + " has been ended for good");
    }
    ProcessBuilder builder =
        new ProcessBuilder(words)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    if (logLevel != null) {
      builder.environment().put(LOG_LEVEL_VARIABLE, logLevel);
    }
    process = builder.start();
  }

  /**
   * Returns the name.
   *
   * @return name
   */
  public String name() {
    return name;
  }

  /**
   * Returns the process number.
   *
   * @return pid of the present run
   */
  public long pid() {
    return process.pid();
  }

  /**
   * Tells whether it runs.
   *
   * @return true while it does
   */
  public boolean isAlive() {
    return process != null && process.isAlive();
  }

  /** Kills it without warning. */
  public void kill() {
    if (process != null) {
      process.destroyForcibly();
      await(10);
    }
  }

  /** Kills it without warning and lets nobody start it again. */
  public synchronized void killForGood() {
    ended = true;
    kill();
  }

  /** Tells it to stop, without waiting. */
  public void terminate() {
    if (process != null) {
      process.destroy();
    }
  }

  /**
   * Waits for its end.
   *
   * @param seconds longest time to wait
   * @return whether it has ended
   */
  public boolean await(long seconds) {
    try {
      return process.waitFor(seconds, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /**
   * Freezes it, so that it keeps its connections and does nothing.
   *
   * @throws IOException when the signal can't be sent
   */
  public void freeze() throws IOException {
    signal("STOP");
  }

  /**
   * Lets it run on.
   *
   * @throws IOException when the signal can't be sent
   */
  public void thaw() throws IOException {
    signal("CONT");
  }

  private void signal(String signal) throws IOException {
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().onExit().join();
  }
}
