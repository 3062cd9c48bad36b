package org.streamcourse.lab.soak;

import org.streamcourse.lab.relay.Relay;

/** Something that is done to a fleet from outside its processes. */
sealed interface Fault {

  /** A fault of the connections on some routes. */
  sealed interface RouteFault extends Fault {
    /** Returns the routes that it concerns. */
    RouteSet routes();
  }

  /** A fault of one process. */
  sealed interface ProcessFault extends Fault {
    /** Returns the name of the process. */
    String process();
  }

  /** Something that hits whichever member is primary when it begins. */
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

  /** Breaks all connections at once. */
  record ResetConnections(RouteSet routes) implements RouteFault {}

  /** Holds back both directions, as in a partition. */
  record CutRoutes(RouteSet routes) implements RouteFault {}

  /** Holds back one direction. */
  record CutOneWay(RouteSet routes, Relay.Direction direction) implements RouteFault {}

  /** Silences the connections of before for good; new ones work after the fault's time. */
  record SilenceConnections(RouteSet routes) implements RouteFault {}

  // ---- processes ----

  /** Stops it with SIGSTOP and lets it go on. */
  record PauseProcess(String process) implements ProcessFault {}

  /** Kills it and starts it again. */
  record KillProcess(String process) implements ProcessFault {}

  /** Tells it to stop with SIGTERM and starts it again once it has ended. */
  record StopProcess(String process) implements ProcessFault {}

  // ---- storage ----

  /** Kills it, deletes its data folder and starts it again. */
  record LoseStorage(String process) implements ProcessFault {}

  /** Starts it on a data folder that can't be written, and then again on the one of before. */
  record RefuseStorage(String process) implements ProcessFault {}

  // ---- members ----

  /** Kills the primary and starts it again. */
  record CrashPrimary(String database) implements PrimaryFault {}

  /** Pauses the primary. */
  record PausePrimary(String database) implements PrimaryFault {}

  /** Lets a member apply its log late. */
  record LagMember(String database, String member, long lagMillis) implements Fault {}

  // ---- operators ----

  /** Changes a rule of a group. */
  record ChangeConfiguration(String database, long maxStalenessMillis) implements OperatorAction {}

  /** Asks for a planned change of primary. */
  record SwitchPrimary(String database, String member) implements OperatorAction {}

  /** Drains a member and restores it. */
  record DrainMember(String database, String member) implements OperatorAction {}
}
