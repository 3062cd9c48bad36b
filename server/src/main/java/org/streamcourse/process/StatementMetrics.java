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
    endpoint.gauge("streamcourse_image_version", "Version in force.", () -> node.image().version());
    endpoint.gauge("streamcourse_reroutes", "Times another member was tried.", log::reroutes);
    endpoint.gauge(
        "streamcourse_members_left_out",
        "Times a member was left out of a read's choice for its lag or silence.",
        log::leftOut);
    endpoint.gauge(
        "streamcourse_late_reads_repeated",
        "Reads asked of another member since their answer was late.",
        log::lateRetries);
    endpoint.gauge(
        "streamcourse_late_reads_not_repeated",
        "Reads with a late answer that the budget of repeats allowed no other member.",
        log::lateRetriesDenied);
    endpoint.gauge(
        "streamcourse_relayed_streams",
        "Other nodes' statements and transactions on this node's links.",
        node::relayedStreams);
    endpoint.gauge(
        "streamcourse_other_holders", "Times another holder was asked.", log::holderRetries);
    endpoint.gauge(
        "streamcourse_refused_for_others",
        "Other nodes' statements that got no connection here.",
        log::refusedForOthers);
    tellOfLinks(endpoint, node);
    tellOfLimits(endpoint, node);
    endpoint.gauge("streamcourse_log_lines_lost", "Lines lost to a full queue.", LogQueue::lost);
    for (AnswerCode code : AnswerCode.values()) {
      String outcome = code.name().toLowerCase(Locale.ROOT);
      endpoint.gauge(
          "streamcourse_answers_" + outcome, "Statements answered so.", () -> log.count(code));
      answered.put(
          code,
          endpoint.histogram(
              "streamcourse_statement", "From a statement to its answer.", OUTCOME, outcome));
    }
    waited =
        endpoint.histogram(
            "streamcourse_link_wait", "From a statement to a link to a member.", OUTCOME, "got");
    member =
        endpoint.histogram(
            "streamcourse_member", "From sending to a member's answer.", OUTCOME, "answered");
  }

  private static void tellOfLinks(MetricsEndpoint endpoint, StatementProxyNode node) {
    endpoint.gauge(
        "streamcourse_slots_taken",
        "Commands under way at members over this node's links.",
        () -> node.sumOverMembers(MemberLinks::slotsTaken));
    endpoint.gauge(
        "streamcourse_link_requests_waiting",
        "Statements and transactions that wait here for a link or a slot.",
        () -> node.sumOverMembers(MemberLinks::waiting));
    endpoint.gauge(
        "streamcourse_links_handed_over",
        "Idle links that ended for another tenant.",
        () -> node.sumOverMembers(MemberLinks::handedOver));
  }

  private static void tellOfLimits(MetricsEndpoint endpoint, StatementProxyNode node) {
    endpoint.gauge(
        "streamcourse_quota_admitted",
        "Operations of limited tenants that were admitted.",
        node.quotas().counts()::admitted);
    endpoint.gauge(
        "streamcourse_quota_refused",
        "Operations refused for their tenant's limit.",
        node.quotas().counts()::refusals);
    endpoint.gauge(
        "streamcourse_quota_counted_for_others",
        "Other nodes' operations that were admitted here.",
        node.quotas()::admittedForOthers);
    endpoint.gauge(
        "streamcourse_quota_homes_silent",
        "Times a node that counts operations was found silent.",
        node.quotas()::suspicions);
    node.quotas()
        .counts()
        .onAdmitted(
            endpoint.histogram(
                "streamcourse_quota_wait",
                "From an operation to its place within the tenant's limit.",
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
