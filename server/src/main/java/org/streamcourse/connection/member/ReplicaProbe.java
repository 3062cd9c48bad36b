package org.streamcourse.connection.member;

import java.util.Map;
import org.streamcourse.request.statement.Answer;
import org.streamcourse.version.image.TenantId;

/**
 * Queries the log position of a member over one of this node's links, so that the recovery of a
 * member is noticed while no reads go there. The probe begins a read-only transaction and rolls it
 * back; it runs no statement, so it takes no slot.
 */
public final class ReplicaProbe implements LinkRequest, CommandListener {
  /**
   * Minimum time between probes of a member: half of the 200 ms in which other nodes learn of it.
   */
  private static final long MIN_INTERVAL_MILLIS = 100;

  /** Priority of probes; callers' statements are served first. */
  private static final int PROBE_PRIORITY = 1_000_000;

  private final MemberLinks links;
  private final TenantId reader;
  private MemberLink link;

  private ReplicaProbe(MemberLinks links, TenantId reader) {
    this.links = links;
    this.reader = reader;
  }

  /**
   * Probes a member, unless it was probed or answered within the last 100 ms.
   *
   * @param links this node's links to the member
   * @param reader tenant for which a connection is opened when none is idle
   */
  public static void probe(MemberLinks links, TenantId reader) {
    boolean recent = links.state().ageMillis() < MIN_INTERVAL_MILLIS;
    if (!recent && links.isUsable() && links.state().tryStartProbe(MIN_INTERVAL_MILLIS)) {
      links.acquire(new ReplicaProbe(links, reader));
    }
  }

  @Override
  public int priority() {
    return PROBE_PRIORITY;
  }

  @Override
  public boolean needsPrimary() {
    return false;
  }

  @Override
  public boolean mayBeRelayed() {
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
    return MIN_INTERVAL_MILLIS;
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
    // A later probe follows while the position is still needed.
  }

  @Override
  public void answered(Answer answer) {
    links.state().onPosition(answer.position());
    links.releaseRolledBack(link);
  }

  @Override
  public void lost(String cause) {
    links.release(link);
  }
}
