package org.streamcourse.lab.soak;

import org.streamcourse.lab.relay.Relay;

/** A fault or operator's action that is applied to a fleet from outside its processes. */
sealed interface Fault {

  /** A fault of the connections on some routes. */
  sealed interface RouteFault extends Fault {
    /** Returns the affected routes. */
    RouteSet routes();
  }

  /** A fault of one process. */
  sealed interface ProcessFault extends Fault {
    /** Returns the name of the process. */
    String process();
  }

  /** A fault of the member that is primary of a group when the fault begins. */
  sealed interface PrimaryFault extends Fault {
    /** Returns the name of the group. */
    String database();
  }

  /** An operator's statement. */
  sealed interface OperatorAction extends Fault {
    /** Returns the name of the group. */
    String database();
  }

  // ---- connections ----

  /** Adds a one-way delay, in microseconds. */
  record SlowRoutes(RouteSet routes, long micros) implements RouteFault {}

  /** Closes all open connections on the routes. */
  record ResetConnections(RouteSet routes) implements RouteFault {}

  /** Forwards no data in either direction, as in a network partition. */
  record CutRoutes(RouteSet routes) implements RouteFault {}

  /** Forwards no data in one direction. */
  record CutOneWay(RouteSet routes, Relay.Direction direction) implements RouteFault {}

  /** Open connections forward no data any more; new ones work once the fault has ended. */
  record SilenceConnections(RouteSet routes) implements RouteFault {}

  // ---- processes ----

  /** Pauses a process with SIGSTOP and resumes it with SIGCONT. */
  record PauseProcess(String process) implements ProcessFault {}

  /** Kills a process and starts it again. */
  record KillProcess(String process) implements ProcessFault {}

  /** Sends SIGTERM to a process and starts it again once it has ended. */
  record StopProcess(String process) implements ProcessFault {}

  // ---- storage ----

  /** Kills a process, deletes its data folder and starts it again. */
  record LoseStorage(String process) implements ProcessFault {}

  /** Restarts a process on a data folder that can't be written, then on its own folder again. */
  record RefuseStorage(String process) implements ProcessFault {}

  // ---- members ----

  /** Kills the primary and starts it again. */
  record CrashPrimary(String database) implements PrimaryFault {}

  /** Pauses the primary and resumes it. */
  record PausePrimary(String database) implements PrimaryFault {}

  /** Delays a member's application of its log. */
  record LagMember(String database, String member, long lagMillis) implements Fault {}

  // ---- operators ----

  /** Changes the staleness limit of a group. */
  record ChangeConfiguration(String database, long maxStalenessMillis) implements OperatorAction {}

  /** Orders a planned change of primary. */
  record SwitchPrimary(String database, String member) implements OperatorAction {}

  /** Drains a member and restores it. */
  record DrainMember(String database, String member) implements OperatorAction {}
}
