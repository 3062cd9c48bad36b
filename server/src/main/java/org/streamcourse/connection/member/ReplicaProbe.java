package org.streamcourse.connection.member;

import java.util.Map;
import org.streamcourse.request.statement.Answer;
import org.streamcourse.version.image.TenantId;

/**
 * Asks a member over one of this node's links where its log stands, so that its recovery is seen
 * though no read is sent there. The question is a transaction that only reads, begun and rolled
 * back; it runs no statement, so it takes none of the member's slots.
 */
public final class ReplicaProbe implements LinkRequest, CommandListener {
  /** Least time between two questions to one member: half of the 200 ms in which others learn. */
  private static final long REST_MILLIS = 100;

  /** Callers' statements go first. */
  private static final int LAST_PRIORITY = 1_000_000;

  private final MemberLinks links;
  private final TenantId reader;
  private MemberLink link;

  private ReplicaProbe(MemberLinks links, TenantId reader) {
    this.links = links;
    this.reader = reader;
  }

  /**
   * Asks a member, unless it was asked or heard a moment ago.
   *
   * @param links this node's links to it
   * @param reader whose connection is opened where none is idle
   */
  public static void ask(MemberLinks links, TenantId reader) {
    boolean heard = links.state().ageMillis() < REST_MILLIS;
    if (!heard && links.isUsable() && links.state().takeTurnToAsk(REST_MILLIS)) {
      links.acquire(new ReplicaProbe(links, reader));
    }
  }

  @Override
  public int priority() {
    return LAST_PRIORITY;
  }

  @Override
  public boolean needsPrimary() {
    return false;
  }

  @Override
  public boolean mayGoThroughOthers() {
    return false;
  }

  @Override
  public TenantId tenant() {
    return reader;
  }

  @Override
  public boolean takesAnyTenant() {
    return true;
  }

  @Override
  public long maxWaitMillis() {
    return REST_MILLIS;
  }

  @Override
  public Map<String, String> sessionValues() {
    return Map.of();
  }

  @Override
  public void granted(MemberLink granted) {
    link = granted;
    link.run(new MemberCommand.BeginTransaction(true, null), this);
  }

  @Override
  public void refused(String cause, long retryAfterMillis) {
    // Whoever still wants to know asks again.
  }

  @Override
  public void answered(Answer answer) {
    links.state().standsAt(answer.position());
    links.releaseRolledBack(link);
  }

  @Override
  public void lost(String cause) {
    links.release(link);
  }
}
