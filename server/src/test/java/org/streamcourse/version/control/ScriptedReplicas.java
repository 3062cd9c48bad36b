package org.streamcourse.version.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.streamcourse.version.image.MemberId;
import org.streamcourse.version.image.RegisteredMember;
import org.streamcourse.version.image.TermPosition;

/** Members that carry out requests at once and report their status, unless their end is unknown. */
final class ScriptedReplicas implements MemberProbe {
  private static final long FIRST_TERM = 0;

  final Map<MemberId, TermPosition> ends = new HashMap<>();
  final Map<MemberId, Long> terms = new HashMap<>();
  final Set<MemberId> primaries = new HashSet<>();
  final Set<MemberId> paused = new HashSet<>();

  /** Members that can't be sent a step-down, since all their slots are taken. */
  final Set<MemberId> withoutSlot = new HashSet<>();

  /** Members that do not carry out the next request to resume. */
  final Set<MemberId> ignoresResume = new HashSet<>();

  final List<MemberId> resumed = new ArrayList<>();
  final List<MemberId> steppedDown = new ArrayList<>();

  @Override
  public void pause(
      String service,
      RegisteredMember member,
      long term,
      Consumer<Optional<ReplicationStatus>> answer) {
    if (ends.containsKey(member.id()) && term > terms.getOrDefault(member.id(), FIRST_TERM)) {
      paused.add(member.id());
    }
    status(service, member, answer);
  }

  @Override
  public void stepDown(
      String service,
      RegisteredMember member,
      long term,
      Consumer<Optional<ReplicationStatus>> answer) {
    steppedDown.add(member.id());
    if (!withoutSlot.contains(member.id())) {
      if (term > terms.getOrDefault(member.id(), FIRST_TERM)) {
        primaries.remove(member.id());
      }
      status(service, member, answer);
    } else {
      answer.accept(Optional.empty());
    }
  }

  @Override
  public void resume(
      String service, RegisteredMember member, Consumer<Optional<ReplicationStatus>> answer) {
    resumed.add(member.id());
    if (!ignoresResume.remove(member.id())) {
      paused.remove(member.id());
    }
    status(service, member, answer);
  }

  @Override
  public void status(
      String service, RegisteredMember member, Consumer<Optional<ReplicationStatus>> answer) {
    TermPosition end = ends.get(member.id());
    boolean primary = primaries.contains(member.id());
    answer.accept(
        Optional.ofNullable(end == null && primary ? TermPosition.ZERO : end)
            .map(
                at ->
                    new ReplicationStatus(
                        primary,
                        terms.getOrDefault(member.id(), FIRST_TERM),
                        at,
                        paused.contains(member.id()))));
  }
}
