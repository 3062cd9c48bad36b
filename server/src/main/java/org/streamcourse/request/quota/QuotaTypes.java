package org.streamcourse.request.quota;

import java.util.List;

/** Lists the types that nodes exchange to count tenants' operations. */
public final class QuotaTypes {
  /** Types in the order that numbers them. */
  public static final List<Class<?>> ALL =
      List.of(
          QuotaRefusal.Reason.class,
          QuotaMessage.Ask.class,
          QuotaMessage.NotRun.class,
          QuotaMessage.Admitted.class,
          QuotaMessage.Waits.class,
          QuotaMessage.Refused.class);

  private QuotaTypes() {}
}
