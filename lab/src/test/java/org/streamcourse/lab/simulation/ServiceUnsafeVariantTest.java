package org.streamcourse.lab.simulation;

import static org.testng.Assert.assertTrue;

import java.util.function.UnaryOperator;
import java.util.stream.LongStream;
import org.streamcourse.connection.member.MemberChannel;
import org.streamcourse.connection.member.MemberCommand;
import org.streamcourse.connection.member.MemberDialer;
import org.streamcourse.process.StatementProxyNode;
import org.streamcourse.request.quota.QuotaSettings;
import org.streamcourse.request.routing.RequestLog;
import org.streamcourse.request.statement.Answer;
import org.streamcourse.version.image.NodeImage;
import org.streamcourse.version.image.TenantId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Checks that the checker detects the violation of an invariant of statements whose safeguard is
 * removed.
 */
public class ServiceUnsafeVariantTest {
  private static final long SEEDS = 40;

  /** A fleet whose proxies' commands lose a safeguard before they reach a member. */
  private static final class UnsafeWorld extends ServiceWorld {
    private final UnaryOperator<MemberCommand> change;

    UnsafeWorld(long seed, UnaryOperator<MemberCommand> change) {
      super(seed);
      this.change = change;
    }

    @Override
    protected StatementProxyNode newProxyNode(
        SimHost host, NodeImage self, MemberDialer dialer, RequestLog log) {
      MemberDialer unsafe =
          (target, port, listener) -> dialer.dial(target, port, new Listener(listener, change));
      return super.newProxyNode(host, self, unsafe, log);
    }
  }

  private record Listener(MemberChannel.Listener to, UnaryOperator<MemberCommand> change)
      implements MemberChannel.Listener {
    @Override
    public void connected(MemberChannel channel) {
      to.connected(new Channel(channel, change));
    }

    @Override
    public void answered(Answer answer) {
      to.answered(answer);
    }

    @Override
    public void closed(String cause) {
      to.closed(cause);
    }
  }

  private record Channel(MemberChannel to, UnaryOperator<MemberCommand> change)
      implements MemberChannel {
    @Override
    public void send(MemberCommand command) {
      to.send(change.apply(command));
    }

    @Override
    public void flush() {
      to.flush();
    }

    @Override
    public void close() {
      to.close();
    }
  }

  private static MemberCommand withoutFloor(MemberCommand command) {
    if (command instanceof MemberCommand.Run run) {
      return new MemberCommand.Run(run.id(), run.text(), null);
    }
    if (command instanceof MemberCommand.BeginTransaction begin) {
      return new MemberCommand.BeginTransaction(begin.readOnly(), null);
    }
    return command;
  }

  private static MemberCommand withoutPrimaryGuard(MemberCommand command) {
    return command instanceof MemberCommand.BeginTransaction
        ? new MemberCommand.BeginTransaction(true, null)
        : command;
  }

  /** Keeps the values that another session has set on the connection. */
  private static MemberCommand withoutReset(MemberCommand command) {
    return command instanceof MemberCommand.ResetSession
        ? new MemberCommand.SetSessionValue("unrelated", "x")
        : command;
  }

  /** Opens all connections for the same tenant. */
  private static MemberCommand withoutTenant(MemberCommand command) {
    return command instanceof MemberCommand.Introduce introduce
        ? new MemberCommand.Introduce(introduce.service(), introduce.member(), new TenantId("t0"))
        : command;
  }

  @DataProvider
  public Object[][] variants() {
    return new Object[][] {
      {
        "read-is-fresh", ServiceScenario.REPLICAS_BEHIND, op(ServiceUnsafeVariantTest::withoutFloor)
      },
      {
        "read-is-fresh",
        ServiceScenario.MEMBERS_REPLACED,
        op(ServiceUnsafeVariantTest::withoutPrimaryGuard)
      },
      {
        "session-is-its-own",
        ServiceScenario.DOCUMENTS_CHANGE,
        op(ServiceUnsafeVariantTest::withoutReset)
      },
      {
        "runs-for-its-tenant",
        ServiceScenario.DOCUMENTS_CHANGE,
        op(ServiceUnsafeVariantTest::withoutTenant)
      }
    };
  }

  private static UnaryOperator<MemberCommand> op(UnaryOperator<MemberCommand> operator) {
    return operator;
  }

  @Test(dataProvider = "variants")
  public void checkerDetectsTheMissingSafeguard(
      String invariant, ServiceScenario scenario, UnaryOperator<MemberCommand> change) {
    boolean seen =
        LongStream.rangeClosed(1, SEEDS)
            .parallel()
            .mapToObj(seed -> new UnsafeWorld(seed, change))
            .peek(world -> world.run(scenario::start))
            .flatMap(world -> world.checks().violations().stream())
            .anyMatch(text -> text.contains(' ' + invariant + ':'));
    assertTrue(seen, invariant + " was not violated without its safeguard in " + scenario.label());
  }

  /** Checks that the checker detects proxies that count a limit over windows that are too short. */
  @Test
  public void checkerDetectsAnExceededLimit() {
    boolean seen =
        LongStream.rangeClosed(1, SEEDS / 10)
            .parallel()
            .mapToObj(
                seed ->
                    new ServiceWorld(seed) {
                      @Override
                      protected QuotaSettings proxyQuotas() {
                        return new QuotaSettings(200, 0, 0);
                      }
                    })
            .peek(world -> world.run(ServiceScenario.LIMIT_LOWERED::start))
            .flatMap(world -> world.checks().violations().stream())
            .anyMatch(text -> text.contains(" limit-holds:"));
    assertTrue(seen, "limit-holds was not violated with windows that are too short");
  }
}
