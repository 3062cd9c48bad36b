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

/** Checks that the checker detects the violation of an invariant whose safeguard is removed. */
public class UnsafeVariantTest {
  private static final long SEEDS = 48;
  private static final long UNLIMITED_MILLIS = 1_000_000_000;

  /** A disk that loses its last writes in a crash, as if they had not been synced. */
  private static final class UnsyncedDisk extends SimDisk {
    private static final int UNSYNCED_WRITES = 6;
    private final java.util.ArrayDeque<Runnable> unsynced = new java.util.ArrayDeque<>();

    @Override
    public byte[] read(String name) {
      unsynced.clear();
      return super.read(name);
    }

    @Override
    public void appendAndSync(String name, byte[] bytes) {
      defer(() -> super.appendAndSync(name, bytes));
    }

    @Override
    public void replace(String name, byte[] bytes) {
      defer(() -> super.replace(name, bytes));
    }

    private void defer(Runnable write) {
      unsynced.add(write);
      while (unsynced.size() > UNSYNCED_WRITES) {
        unsynced.poll().run();
      }
    }
  }

  /** A member that reports itself fenced but remains primary. */
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
      MemberStatus actual = super.status();
      if (claimedTerm == 0) {
        return actual;
      }
      long claimed = claimedTerm;
      claimedTerm = 0;
      return new MemberStatus(
          claimed, MemberRole.FENCED, "", actual.received(), TermPosition.ZERO, actual.applied());
    }
  }

  /** A replica that reports every position as received. */
  private static final class OverreportingMember extends SimMember {
    OverreportingMember(
        String name,
        SimHost host,
        SimNetwork network,
        History history,
        Map<String, SimMember> peers) {
      super(name, host, network, history, peers);
    }

    @Override
    MemberStatus status() {
      MemberStatus actual = super.status();
      TermPosition all = new TermPosition(actual.term(), UNLIMITED_MILLIS);
      return new MemberStatus(
          actual.term(),
          actual.role(),
          actual.upstream(),
          actual.received(),
          actual.role() == MemberRole.REPLICA ? all : actual.matched(),
          actual.applied());
    }
  }

  /** A member that reports a connection as idle during a transaction. */
  private static final class IdleReportingMember extends SimMember {
    IdleReportingMember(
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

  /** A member that allows a request key to be claimed again. */
  private static final class DuplicateClaimMember extends SimMember {
    DuplicateClaimMember(
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

  /** Creates members of one unsafe variant. */
  private interface MemberFactory {
    SimMember create(
        String name,
        SimHost host,
        SimNetwork network,
        History history,
        Map<String, SimMember> peers);
  }

  private static SimHooks members(MemberFactory factory) {
    return new SimHooks() {
      @Override
      SimMember newMember(
          String name,
          SimHost host,
          SimNetwork network,
          History history,
          Map<String, SimMember> peers) {
        return factory.create(name, host, network, history, peers);
      }
    };
  }

  /** Replaces messages in transit. */
  private static SimHooks messages(java.util.function.UnaryOperator<Object> change) {
    return new SimHooks() {
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
            UNLIMITED_MILLIS,
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

  private static SimHooks controllerDisks() {
    return new SimHooks() {
      @Override
      SimDisk newDisk() {
        return new UnsyncedDisk();
      }
    };
  }

  private static SimHooks proxyDisks() {
    return new SimHooks() {
      @Override
      SimDisk newProxyDisk() {
        return new UnsyncedDisk();
      }
    };
  }

  private static SimHooks statements(String removed) {
    return new SimHooks() {
      @Override
      String operatorStatement(String sql) {
        return sql.replaceAll(removed, "");
      }
    };
  }

  /** Edges that treat requests on a lost link as never delivered. */
  private static SimHooks lossAsRefusal() {
    return new SimHooks() {
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

  /** Nodes that continue to serve without confirmation by the controllers. */
  private static SimHooks unconfirmedNodes() {
    ControlSettings safe = ControlSettings.DEFAULT;
    return nodes(
        timing(safe, UNLIMITED_MILLIS, UNLIMITED_MILLIS, safe.nodeLostMillis(), UNLIMITED_MILLIS));
  }

  /** Nodes that accept no new work without confirmation, but keep their member connections. */
  private static SimHooks nodesThatKeepConnections() {
    ControlSettings safe = ControlSettings.DEFAULT;
    return nodes(
        timing(
            safe,
            safe.confirmationMillis(),
            UNLIMITED_MILLIS,
            safe.nodeLostMillis(),
            safe.releaseMillis()));
  }

  private static SimHooks nodes(ControlSettings control) {
    return new SimHooks() {
      @Override
      ProxyNode.Settings proxySettings() {
        ProxyNode.Settings safe = ProxyNode.Settings.DEFAULT;
        return new ProxyNode.Settings(
            control, safe.gateway(), safe.pool(), safe.edge(), safe.policy());
      }
    };
  }

  /** Controllers that reassign the allowance of a lost node too early. */
  private static SimHooks controllersWithShortNodeTimeout() {
    return new SimHooks() {
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

  /** Kills proxies instead of stopping them in the steps of a planned stop. */
  private static final Consumer<World> KILL_PROXIES = Faults::killProxies;

  private record Variant(String invariant, Scenario scenario, Supplier<SimHooks> hooks) {}

  @DataProvider
  public Object[][] variants() {
    return new Object[][] {
      variant(
          "read-your-writes",
          Scenario.REPLICA_BEHIND,
          () -> messages(UnsafeVariantTest::withoutFloor)),
      variant(
          "staleness",
          Scenario.REPLICA_BEHIND,
          () -> messages(UnsafeVariantTest::withoutStaleness)),
      variant(
          "acknowledged-is-kept", Scenario.PRIMARY_KILLED, () -> members(OverreportingMember::new)),
      variant("acknowledged-is-kept", Scenario.PRIMARY_UNHEARD, () -> members(UnfencedMember::new)),
      variant("at-most-once", Scenario.PROXY_KILLED, UnsafeVariantTest::lossAsRefusal),
      variant("at-most-once", Scenario.PRIMARY_CUT, () -> members(DuplicateClaimMember::new)),
      variant("no-mixing", Scenario.CALM, () -> members(IdleReportingMember::new)),
      variant("whole-own-answer", Scenario.CALM, () -> messages(UnsafeVariantTest::withoutRows)),
      variant("accepted-is-kept", Scenario.CONTROLLERS_CRASH, UnsafeVariantTest::controllerDisks),
      variant("version-never-reverts", Scenario.PROXY_KILLED, UnsafeVariantTest::proxyDisks),
      variant(
          "one-winner-a-version", Scenario.OPERATORS_RACE, () -> statements(" AT VERSION \\d+")),
      variant("command-runs-once", Scenario.COMMAND_RESENT, () -> statements(" COMMAND '.*'")),
      variant("drained", Scenario.DRAIN_UNHEARD, UnsafeVariantTest::unconfirmedNodes),
      variant(
          "connection-limit",
          Scenario.PROXY_FROZEN,
          UnsafeVariantTest::controllersWithShortNodeTimeout),
      variant(
          "connection-limit",
          Scenario.ALLOWANCE_LAPSED,
          UnsafeVariantTest::nodesThatKeepConnections),
    };
  }

  private static Object[] variant(String invariant, Scenario scenario, Supplier<SimHooks> hooks) {
    return new Object[] {new Variant(invariant, scenario, hooks)};
  }

  @Test(dataProvider = "variants")
  public void checkerDetectsTheViolation(Variant variant) {
    boolean seen =
        LongStream.rangeClosed(1, SEEDS)
            .parallel()
            .mapToObj(seed -> new World(seed, variant.hooks().get()))
            .anyMatch(
                world -> {
                  world.run(variant.scenario());
                  return violates(world, variant.invariant());
                });
    assertTrue(seen, variant.invariant() + " was never violated");
  }

  @Test
  public void checkerDetectsAStopThatInterruptsRequests() {
    boolean seen =
        LongStream.rangeClosed(1, SEEDS)
            .parallel()
            .mapToObj(seed -> new World(seed, new SimHooks()))
            .anyMatch(
                world -> {
                  world.run(true, KILL_PROXIES);
                  return violates(world, "planned-stop");
                });
    assertTrue(seen, "planned-stop was never violated");
  }

  private static boolean violates(World world, String invariant) {
    return world.history().violations().stream()
        .anyMatch(each -> each.contains(" " + invariant + ":"));
  }
}
