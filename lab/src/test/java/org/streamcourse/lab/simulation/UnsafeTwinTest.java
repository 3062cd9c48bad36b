package org.streamcourse.lab.simulation;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.LongStream;
import org.streamcourse.connection.peer.PeerHandler;
import org.streamcourse.connection.wire.Backend;
import org.streamcourse.process.ProxyNode;
import org.streamcourse.request.StreamMessage.OpenStream;
import org.streamcourse.request.StreamMessage.Output;
import org.streamcourse.version.control.ControlSettings;
import org.streamcourse.version.control.MemberRole;
import org.streamcourse.version.control.MemberStatus;
import org.streamcourse.version.image.TermPosition;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** With a safeguard taken out, the checker must see the invariant broken that it guards. */
public class UnsafeTwinTest {
  private static final long SEEDS = 48;
  private static final long FOREVER_MILLIS = 1_000_000_000;

  /** A disk whose writes are lost by a crash, as if they had not been synced. */
  private static final class UnsyncedDisk extends SimDisk {
    private static final int KEPT_BACK = 6;
    private final java.util.ArrayDeque<Runnable> unsynced = new java.util.ArrayDeque<>();

    @Override
    public byte[] read(String name) {
      unsynced.clear();
      return super.read(name);
    }

    @Override
    public void appendAndSync(String name, byte[] bytes) {
      later(() -> super.appendAndSync(name, bytes));
    }

    @Override
    public void replace(String name, byte[] bytes) {
      later(() -> super.replace(name, bytes));
    }

    private void later(Runnable write) {
      unsynced.add(write);
      while (unsynced.size() > KEPT_BACK) {
        unsynced.poll().run();
      }
    }
  }

  /** A member that confirms that it is fenced, and goes on as before. */
  private static final class UnfencedMember extends SimMember {
    private long claimedTerm;

    UnfencedMember(
        String name,
        SimHost host,
        SimNetwork network,
        History history,
        Map<String, SimMember> peers) {
      super(name, host, network, history, peers);
    }

    @Override
    protected boolean fence(long newTerm) {
      claimedTerm = newTerm;
      return true;
    }

    @Override
    protected boolean promote(long newTerm) {
      return super.fence(newTerm) && super.promote(newTerm);
    }

    @Override
    MemberStatus status() {
      MemberStatus honest = super.status();
      if (claimedTerm == 0) {
        return honest;
      }
      long claimed = claimedTerm;
      claimedTerm = 0;
      return new MemberStatus(
          claimed, MemberRole.FENCED, "", honest.received(), TermPosition.ZERO, honest.applied());
    }
  }

  /** A replica that claims to have received whatever it is asked for. */
  private static final class BoastfulMember extends SimMember {
    BoastfulMember(
        String name,
        SimHost host,
        SimNetwork network,
        History history,
        Map<String, SimMember> peers) {
      super(name, host, network, history, peers);
    }

    @Override
    MemberStatus status() {
      MemberStatus honest = super.status();
      TermPosition all = new TermPosition(honest.term(), FOREVER_MILLIS);
      return new MemberStatus(
          honest.term(),
          honest.role(),
          honest.upstream(),
          honest.received(),
          honest.role() == MemberRole.REPLICA ? all : honest.matched(),
          honest.applied());
    }
  }

  /** A member that calls a connection idle in the middle of a transaction. */
  private static final class IdleSayingMember extends SimMember {
    IdleSayingMember(
        String name,
        SimHost host,
        SimNetwork network,
        History history,
        Map<String, SimMember> peers) {
      super(name, host, network, history, peers);
    }

    @Override
    protected char reportedStatus(boolean inTransaction) {
      return Backend.STATUS_IDLE;
    }
  }

  /** A member that lets a request's name be claimed again. */
  private static final class ForgetfulMember extends SimMember {
    ForgetfulMember(
        String name,
        SimHost host,
        SimNetwork network,
        History history,
        Map<String, SimMember> peers) {
      super(name, host, network, history, peers);
    }

    @Override
    protected String refusalOfClaim(SimRecord.Booking claim) {
      return "";
    }
  }

  /** Makes members of one unsafe kind. */
  private interface MemberMaker {
    SimMember make(
        String name,
        SimHost host,
        SimNetwork network,
        History history,
        Map<String, SimMember> peers);
  }

  private static SimParts members(MemberMaker maker) {
    return new SimParts() {
      @Override
      SimMember newMember(
          String name,
          SimHost host,
          SimNetwork network,
          History history,
          Map<String, SimMember> peers) {
        return maker.make(name, host, network, history, peers);
      }
    };
  }

  /** Replaces messages on their way. */
  private static SimParts messages(java.util.function.UnaryOperator<Object> change) {
    return new SimParts() {
      @Override
      Object transmit(String from, String to, Object message) {
        return change.apply(message);
      }
    };
  }

  private static Object withoutFloor(Object message) {
    return message instanceof OpenStream open
        ? new OpenStream(
            open.streamId(),
            open.group(),
            open.member(),
            open.user(),
            open.purpose(),
            TermPosition.ZERO,
            open.maxStalenessMillis(),
            open.budgetMillis(),
            open.settings(),
            open.unit())
        : message;
  }

  private static Object withoutStaleness(Object message) {
    return message instanceof OpenStream open
        ? new OpenStream(
            open.streamId(),
            open.group(),
            open.member(),
            open.user(),
            open.purpose(),
            open.floor(),
            FOREVER_MILLIS,
            open.budgetMillis(),
            open.settings(),
            open.unit())
        : message;
  }

  private static Object withoutRows(Object message) {
    return message instanceof Output output && output.streamId() % 20 == 0
        ? new Output(output.streamId(), output.number(), Backend.commandComplete("SELECT 9"))
        : message;
  }

  private static SimParts controllerDisks() {
    return new SimParts() {
      @Override
      SimDisk newDisk() {
        return new UnsyncedDisk();
      }
    };
  }

  private static SimParts proxyDisks() {
    return new SimParts() {
      @Override
      SimDisk newProxyDisk() {
        return new UnsyncedDisk();
      }
    };
  }

  private static SimParts statements(String removed) {
    return new SimParts() {
      @Override
      String operatorStatement(String sql) {
        return sql.replaceAll(removed, "");
      }
    };
  }

  /** Edges that take a lost link for a request that was never delivered. */
  private static SimParts lossAsRefusal() {
    return new SimParts() {
      private final Map<String, List<Object>> opened = new HashMap<>();

      @Override
      Object transmit(String from, String to, Object message) {
        if (message instanceof OpenStream) {
          opened.computeIfAbsent(from + ' ' + to, any -> new ArrayList<>()).add(message);
        }
        return message;
      }

      @Override
      void linkLost(PeerHandler handler, String self, String peer) {
        List<Object> lost = opened.remove(self + ' ' + peer);
        handler.undelivered(peer, lost == null ? List.of() : lost);
      }
    };
  }

  /** Nodes that go on without the controllers' word. */
  private static SimParts unconfirmedNodes() {
    ControlSettings safe = ControlSettings.DEFAULT;
    return nodes(
        timing(safe, FOREVER_MILLIS, FOREVER_MILLIS, safe.nodeLostMillis(), FOREVER_MILLIS));
  }

  /** Nodes that take no new work without the controllers' word, and keep their connections. */
  private static SimParts nodesThatKeepConnections() {
    ControlSettings safe = ControlSettings.DEFAULT;
    return nodes(
        timing(
            safe,
            safe.confirmationMillis(),
            FOREVER_MILLIS,
            safe.nodeLostMillis(),
            safe.releaseMillis()));
  }

  private static SimParts nodes(ControlSettings control) {
    return new SimParts() {
      @Override
      ProxyNode.Settings proxySettings() {
        ProxyNode.Settings safe = ProxyNode.Settings.DEFAULT;
        return new ProxyNode.Settings(
            control, safe.gateway(), safe.pool(), safe.edge(), safe.policy());
      }
    };
  }

  /** Controllers that hand on the part of a lost node at once. */
  private static SimParts hastyControllers() {
    return new SimParts() {
      @Override
      ControlSettings controlSettings() {
        ControlSettings safe = ControlSettings.DEFAULT;
        return timing(safe, safe.confirmationMillis(), safe.allowanceLapseMillis(), 1_000, 0);
      }
    };
  }

  private static ControlSettings timing(
      ControlSettings safe, long confirmation, long lapse, long nodeLost, long release) {
    return new ControlSettings(
        safe.heartbeatMillis(),
        safe.gatewaySilenceMillis(),
        nodeLost,
        confirmation,
        lapse,
        release,
        safe.supervisionMillis(),
        safe.orderRetryMillis(),
        safe.promotionMillis(),
        safe.fenceGraceMillis(),
        safe.holdWritesMillis(),
        safe.quotas());
  }

  /** Proxies that are stopped without the steps of a planned stop. */
  private static final Consumer<World> ROUGH_STOP = Faults::killProxies;

  private record Twin(String invariant, Scenario scenario, Supplier<SimParts> parts) {}

  @DataProvider
  public Object[][] twins() {
    return new Object[][] {
      twin(
          "read-your-writes",
          Scenario.REPLICA_BEHIND,
          () -> messages(UnsafeTwinTest::withoutFloor)),
      twin("staleness", Scenario.REPLICA_BEHIND, () -> messages(UnsafeTwinTest::withoutStaleness)),
      twin("acknowledged-is-kept", Scenario.PRIMARY_KILLED, () -> members(BoastfulMember::new)),
      twin("acknowledged-is-kept", Scenario.PRIMARY_UNHEARD, () -> members(UnfencedMember::new)),
      twin("at-most-once", Scenario.PROXY_KILLED, UnsafeTwinTest::lossAsRefusal),
      twin("at-most-once", Scenario.PRIMARY_CUT, () -> members(ForgetfulMember::new)),
      twin("no-mixing", Scenario.CALM, () -> members(IdleSayingMember::new)),
      twin("whole-own-answer", Scenario.CALM, () -> messages(UnsafeTwinTest::withoutRows)),
      twin("accepted-is-kept", Scenario.CONTROLLERS_CRASH, UnsafeTwinTest::controllerDisks),
      twin("version-never-reverts", Scenario.PROXY_KILLED, UnsafeTwinTest::proxyDisks),
      twin("one-winner-a-version", Scenario.OPERATORS_RACE, () -> statements(" AT VERSION \\d+")),
      twin("command-runs-once", Scenario.COMMAND_RESENT, () -> statements(" COMMAND '.*'")),
      twin("drained", Scenario.DRAIN_UNHEARD, UnsafeTwinTest::unconfirmedNodes),
      twin("connection-limit", Scenario.PROXY_FROZEN, UnsafeTwinTest::hastyControllers),
      twin("connection-limit", Scenario.ALLOWANCE_LAPSED, UnsafeTwinTest::nodesThatKeepConnections),
    };
  }

  private static Object[] twin(String invariant, Scenario scenario, Supplier<SimParts> parts) {
    return new Object[] {new Twin(invariant, scenario, parts)};
  }

  @Test(dataProvider = "twins")
  public void checkerSeesTheInvariantBroken(Twin twin) {
    boolean seen =
        LongStream.rangeClosed(1, SEEDS)
            .parallel()
            .mapToObj(seed -> new World(seed, twin.parts().get()))
            .anyMatch(
                world -> {
                  world.run(twin.scenario());
                  return breaks(world, twin.invariant());
                });
    assertTrue(seen, twin.invariant() + " was never seen broken");
  }

  @Test
  public void checkerSeesAStopThatCutsRequests() {
    boolean seen =
        LongStream.rangeClosed(1, SEEDS)
            .parallel()
            .mapToObj(seed -> new World(seed, new SimParts()))
            .anyMatch(
                world -> {
                  world.run(true, ROUGH_STOP);
                  return breaks(world, "planned-stop");
                });
    assertTrue(seen, "planned-stop was never seen broken");
  }

  private static boolean breaks(World world, String invariant) {
    return world.history().violations().stream()
        .anyMatch(each -> each.contains(" " + invariant + ":"));
  }
}
