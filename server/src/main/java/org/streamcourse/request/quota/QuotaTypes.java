package org.streamcourse.request.quota;

import java.util.List;

/** Lists the types that nodes exchange to count tenants' operations. */
public final class QuotaTypes {
  /** Types in the order that numbers them. */
  public static final List<Class<?>> ALL =
      List.of(
          QuotaRefusal.Reason.class,
          HomeMessage.Ask.class,
          HomeMessage.NotRun.class,
          HomeMessage.Admitted.class,
          HomeMessage.Waits.class,
          HomeMessage.Refused.class);

  private QuotaTypes() {}
}
