package org.streamcourse.lab.simulation;

import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.streamcourse.connection.peer.PeerHandler;
import org.streamcourse.process.ProxyNode;
import org.streamcourse.version.control.ControlSettings;

/** Extension points through which tests replace components of the simulation by unsafe variants. */
public class SimHooks {
  /** Creates the disk of a controller. */
  SimDisk newDisk() {
    return new SimDisk();
  }

  /** Creates the disk of a proxy. */
  SimDisk newProxyDisk() {
    return new SimDisk();
  }

  /** Returns the settings of the controllers. */
  ControlSettings controlSettings() {
    return ControlSettings.DEFAULT;
  }

  /** Returns the message that is transmitted in place of one sent between two processes. */
  Object transmit(String from, String to, Object message) {
    return message;
  }

  /** Notifies a process of the loss of a link to or from a peer. */
  void linkLost(PeerHandler handler, String self, String peer) {
    handler.linkLost(peer);
  }

  /** Returns the statement that a controller receives in place of an operator's statement. */
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
