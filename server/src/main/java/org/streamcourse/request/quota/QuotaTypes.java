package org.streamcourse.request.quota;

import java.util.List;

/** Serialized types of the messages between nodes and quota servers. */
public final class QuotaTypes {
  /** Types in the order that determines their serialization numbers. */
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
