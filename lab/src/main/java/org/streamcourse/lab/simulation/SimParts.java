package org.streamcourse.lab.simulation;

import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.streamcourse.connection.peer.PeerHandler;
import org.streamcourse.process.ProxyNode;
import org.streamcourse.version.control.ControlSettings;

/** Makes the parts that tests replace by unsafe ones. */
public class SimParts {
  /** Disk of a controller. */
  SimDisk newDisk() {
    return new SimDisk();
  }

  /** Disk of a proxy. */
  SimDisk newProxyDisk() {
    return new SimDisk();
  }

  /** Timing of the controllers. */
  ControlSettings controlSettings() {
    return ControlSettings.DEFAULT;
  }

  /** What travels instead of a message between two processes. */
  Object transmit(String from, String to, Object message) {
    return message;
  }

  /** Tells a process that a link to or from a peer is lost. */
  void linkLost(PeerHandler handler, String self, String peer) {
    handler.linkLost(peer);
  }

  /** What a controller gets instead of an operator's statement. */
  String operatorStatement(String sql) {
    return sql;
  }

  SimMember newMember(
      String name,
      SimHost host,
      SimNetwork network,
      History history,
      Map<String, SimMember> peers) {
    return new SimMember(name, host, network, history, peers);
  }

  SimCaller newCaller(String name, World world, UniformRandomProvider random, double readShare) {
    return new SimCaller(name, World.GROUP, world, random, readShare);
  }

  ProxyNode.Settings proxySettings() {
    return ProxyNode.Settings.DEFAULT;
  }
}
