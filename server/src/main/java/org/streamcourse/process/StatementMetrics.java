package org.streamcourse.process;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.LongConsumer;
import org.streamcourse.connection.member.MemberLinks;
import org.streamcourse.process.logging.LogQueue;
import org.streamcourse.request.routing.RequestLog;
import org.streamcourse.request.routing.StatementObserver;
import org.streamcourse.request.statement.AnswerCode;

/** Counters and latency histograms of a statement proxy. */
final class StatementMetrics implements StatementObserver {
  private static final String OUTCOME = "outcome";

  private final Map<AnswerCode, LongConsumer> answered = new EnumMap<>(AnswerCode.class);
  private final LongConsumer waited;
  private final LongConsumer member;

  StatementMetrics(MetricsEndpoint endpoint, StatementProxyNode node, RequestLog log) {
    endpoint.gauge("streamcourse_sessions", "Open sessions of callers.", node::openSessions);
    addImageMetrics(endpoint, node);
    endpoint.gauge(
        "streamcourse_reroutes",
        "Times a statement was rerouted to another member.",
        log::reroutes);
    endpoint.gauge(
        "streamcourse_members_left_out",
        "Times a member was excluded from a read for its lag or for being unresponsive.",
        log::leftOut);
    endpoint.gauge(
        "streamcourse_late_reads_repeated",
        "Reads repeated at another member because their answer was late.",
        log::lateRetries);
    endpoint.gauge(
        "streamcourse_late_reads_not_repeated",
        "Reads with a late answer that the budget did not allow to repeat.",
        log::lateRetriesDenied);
    endpoint.gauge(
        "streamcourse_primary_positions_lower",
        "Log positions of primaries that were lower than the newest one known for the service.",
        log::lowerPositions);
    endpoint.gauge(
        "streamcourse_relayed_streams",
        "Other nodes' statements and transactions on this node's member links.",
        node::relayedStreams);
    endpoint.gauge(
        "streamcourse_other_holders",
        "Times a statement was sent to another holder.",
        log::holderRetries);
    endpoint.gauge(
        "streamcourse_refused_for_others",
        "Other nodes' statements refused here for lack of a member connection.",
        log::refusedForOthers);
    addLinkMetrics(endpoint, node);
    addQuotaMetrics(endpoint, node);
    endpoint.gauge(
        "streamcourse_log_lines_lost",
        "Log lines dropped because the queue was full.",
        LogQueue::lost);
    for (AnswerCode code : AnswerCode.values()) {
      String outcome = code.name().toLowerCase(Locale.ROOT);
      endpoint.gauge(
          "streamcourse_answers_" + outcome,
          "Statements with this outcome.",
          () -> log.count(code));
      answered.put(
          code,
          endpoint.histogram(
              "streamcourse_statement", "Time from a statement to its answer.", OUTCOME, outcome));
    }
    waited =
        endpoint.histogram(
            "streamcourse_link_wait", "Time from a statement to its member link.", OUTCOME, "got");
    member =
        endpoint.histogram(
            "streamcourse_member",
            "Time from sending a statement to a member to its answer.",
            OUTCOME,
            "answered");
  }

  private static void addImageMetrics(MetricsEndpoint endpoint, StatementProxyNode node) {
    endpoint.gauge(
        "streamcourse_image_version",
        "Version of the image in force.",
        () -> node.image().version());
    endpoint.gauge(
        "streamcourse_document_version",
        "Version of the routing document in force, -1 without one.",
        () -> node.image().document().version());
    endpoint.gauge(
        "streamcourse_confirmed",
        "1 while the controllers have confirmed the image recently, else 0.",
        () -> node.agent().isConfirmed() ? 1 : 0);
  }

  private static void addLinkMetrics(MetricsEndpoint endpoint, StatementProxyNode node) {
    endpoint.gauge(
        "streamcourse_slots_taken",
        "Commands running at members over this node's member links.",
        () -> node.sumOverMembers(MemberLinks::slotsTaken));
    endpoint.gauge(
        "streamcourse_link_requests_waiting",
        "Statements and transactions that wait here for a member link or a slot.",
        () -> node.sumOverMembers(MemberLinks::waiting));
    endpoint.gauge(
        "streamcourse_links_handed_over",
        "Idle member links closed to make room for another tenant.",
        () -> node.sumOverMembers(MemberLinks::handedOver));
  }

  private static void addQuotaMetrics(MetricsEndpoint endpoint, StatementProxyNode node) {
    endpoint.gauge(
        "streamcourse_quota_admitted",
        "Operations of limited tenants that were admitted.",
        node.quotas().counts()::admitted);
    endpoint.gauge(
        "streamcourse_quota_refused",
        "Operations refused because of their tenant's limit.",
        node.quotas().counts()::refusals);
    endpoint.gauge(
        "streamcourse_quota_counted_for_others",
        "Other nodes' operations that this quota server admitted.",
        node.quotas()::admittedForOthers);
    endpoint.gauge(
        "streamcourse_quota_homes_silent",
        "Times a quota server was suspected to be unresponsive.",
        node.quotas()::suspicions);
    node.quotas()
        .counts()
        .onAdmitted(
            endpoint.histogram(
                "streamcourse_quota_wait",
                "Time from an operation to its admission within the tenant's limit.",
                OUTCOME,
                "admitted"));
  }

  @Override
  public void answered(AnswerCode code, long tookMillis) {
    answered.get(code).accept(tookMillis);
  }

  @Override
  public void waitedForLink(long waitedMillis) {
    waited.accept(waitedMillis);
  }

  @Override
  public void memberAnswered(long tookMillis) {
    member.accept(tookMillis);
  }
}
