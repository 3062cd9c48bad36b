package org.streamcourse.version.control;

import java.util.ArrayList;
import java.util.List;
import org.streamcourse.version.agreement.VoterSetCodec;
import org.streamcourse.version.image.Allowance;
import org.streamcourse.version.image.ClusterChange;
import org.streamcourse.version.image.ClusterDelta;
import org.streamcourse.version.image.ClusterImage;
import org.streamcourse.version.image.DocumentEdit;
import org.streamcourse.version.image.GroupImage;
import org.streamcourse.version.image.GroupRules;
import org.streamcourse.version.image.KeyDigest;
import org.streamcourse.version.image.ListEdit;
import org.streamcourse.version.image.MemberId;
import org.streamcourse.version.image.MemberImage;
import org.streamcourse.version.image.NodeImage;
import org.streamcourse.version.image.Placement;
import org.streamcourse.version.image.QuotaGrant;
import org.streamcourse.version.image.QuotaHolder;
import org.streamcourse.version.image.RegisteredMember;
import org.streamcourse.version.image.RouteConsistency;
import org.streamcourse.version.image.RouteRule;
import org.streamcourse.version.image.RoutingDocument;
import org.streamcourse.version.image.ServiceImage;
import org.streamcourse.version.image.ServiceRules;
import org.streamcourse.version.image.SessionLimits;
import org.streamcourse.version.image.TenantId;
import org.streamcourse.version.image.TenantRule;
import org.streamcourse.version.image.TermPosition;
import org.streamcourse.version.image.TextEdit;

/** Types that controllers store and send, in the order in which Kryo numbers them. */
public final class ControlTypes {
  private static final List<Class<?>> OWN =
      List.of(
          TermPosition.class,
          Placement.class,
          Allowance.class,
          MemberImage.class,
          GroupRules.class,
          GroupImage.class,
          NodeImage.class,
          ClusterImage.class,
          ClusterDelta.class,
          ClusterChange.GroupCreated.class,
          ClusterChange.GroupDropped.class,
          ClusterChange.RulesChanged.class,
          ClusterChange.LimitsChanged.class,
          ClusterChange.MemberDrained.class,
          ClusterChange.NodeDrained.class,
          ClusterChange.NodeAdmitted.class,
          ClusterChange.NodeRemoved.class,
          ClusterChange.TermOpened.class,
          ClusterChange.PrimaryChosen.class,
          ClusterChange.AllowancesSet.class,
          MemberRole.class,
          MemberStatus.class,
          AdminResult.class,
          ControllerStateMachine.StoredState.class,
          ControlMessage.AgreementEnvelope.class,
          ControlMessage.JoinEnvelope.class,
          ControlMessage.MemberReport.class,
          ControlMessage.NodeHeartbeat.class,
          ControlMessage.HeartbeatReply.class,
          ControlMessage.ImagePush.class,
          ControlMessage.LeaderHint.class,
          ControlMessage.OrderKind.class,
          ControlMessage.MemberOrder.class,
          ControlMessage.MemberOrderResult.class,
          ControlMessage.AdminRequest.class,
          ControlMessage.AdminResponse.class,
          ControlMessage.LoggedCommand.class,
          ControlMessage.CommandOutcome.class,
          ControlMessage.CommandStatus.class,
          ClusterChange.PrimaryHandedOver.class,
          MemberId.class,
          RegisteredMember.class,
          ServiceImage.class,
          RouteConsistency.class,
          RouteRule.class,
          ServiceRules.class,
          SessionLimits.class,
          RoutingDocument.class,
          ClusterChange.DocumentReplaced.class,
          ClusterChange.MemberRegistered.class,
          ClusterChange.MemberDeregistered.class,
          ClusterChange.PrimaryObserved.class,
          ClusterChange.PromotionOrdered.class,
          ServiceCall.ReplaceDocument.class,
          ServiceCall.FetchDocument.class,
          ServiceCall.MemberHeartbeat.class,
          ServiceCall.MemberLeaves.class,
          ServiceCall.Status.class,
          ServiceCall.Result.class,
          ControlMessage.ForwardedCall.class,
          ControlMessage.ForwardedResult.class,
          ControlMessage.StoredImage.class,
          ControlMessage.ImageRequest.class,
          TenantId.class,
          KeyDigest.class,
          TenantRule.class,
          QuotaHolder.class,
          QuotaGrant.class,
          QuotaTable.Stored.class,
          ClusterChange.QuotaGranted.class,
          ControlMessage.QuotaDemand.class,
          ControlMessage.QuotaReport.class,
          ControlMessage.QuotaShare.class,
          ControlMessage.QuotaNews.class);

  /** Types that were added after the types of other packages had got their numbers. */
  public static final List<Class<?>> ADDED =
      List.of(
          ListEdit.class, TextEdit.class, DocumentEdit.class, ClusterChange.DocumentEdited.class);

  private ControlTypes() {}

  /**
   * Returns all types, those of the agreement protocol first.
   *
   * @return types in the order of their numbers
   */
  public static List<Class<?>> all() {
    List<Class<?>> types = new ArrayList<>(VoterSetCodec.TYPES);
    types.addAll(OWN);
    return types;
  }
}
