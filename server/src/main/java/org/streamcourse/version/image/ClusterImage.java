package org.streamcourse.version.image;

import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.UnaryOperator;
import org.streamcourse.process.ErrorCode;
import org.streamcourse.process.StreamcourseException;
import org.streamcourse.version.image.ClusterChange.AllowancesSet;
import org.streamcourse.version.image.ClusterChange.ConfigurationChange;
import org.streamcourse.version.image.ClusterChange.DocumentEdited;
import org.streamcourse.version.image.ClusterChange.DocumentReplaced;
import org.streamcourse.version.image.ClusterChange.GroupCreated;
import org.streamcourse.version.image.ClusterChange.GroupDropped;
import org.streamcourse.version.image.ClusterChange.LimitsChanged;
import org.streamcourse.version.image.ClusterChange.MemberDeregistered;
import org.streamcourse.version.image.ClusterChange.MemberDrained;
import org.streamcourse.version.image.ClusterChange.MemberRegistered;
import org.streamcourse.version.image.ClusterChange.NodeAdmitted;
import org.streamcourse.version.image.ClusterChange.NodeDrained;
import org.streamcourse.version.image.ClusterChange.NodeRemoved;
import org.streamcourse.version.image.ClusterChange.PrimaryChosen;
import org.streamcourse.version.image.ClusterChange.PrimaryHandedOver;
import org.streamcourse.version.image.ClusterChange.PrimaryObserved;
import org.streamcourse.version.image.ClusterChange.PromotionOrdered;
import org.streamcourse.version.image.ClusterChange.RulesChanged;
import org.streamcourse.version.image.ClusterChange.TermOpened;

/**
 * The cluster's agreed configuration and state at one version. Immutable: {@link #apply} returns a
 * new image.
 *
 * @param version number of changes applied
 * @param configurationVersion number of operators' changes among them
 * @param groups database groups by name
 * @param nodes admitted nodes by name
 * @param document operators' routing document; {@link RoutingDocument#NONE} until they send one
 * @param services services, whose members register themselves, by name
 */
public record ClusterImage(
    long version,
    long configurationVersion,
    TreeMap<String, GroupImage> groups,
    TreeMap<String, NodeImage> nodes,
    RoutingDocument document,
    TreeMap<String, ServiceImage> services) {
  /** The image before the first change. */
  public static final ClusterImage EMPTY = new ClusterImage(0, 0, new TreeMap<>(), new TreeMap<>());

  /**
   * Creates an image without a document and services.
   *
   * @param version number of changes applied
   * @param configurationVersion number of operators' changes among them
   * @param groups groups by name
   * @param nodes admitted nodes by name
   */
  public ClusterImage(
      long version,
      long configurationVersion,
      TreeMap<String, GroupImage> groups,
      TreeMap<String, NodeImage> nodes) {
    this(version, configurationVersion, groups, nodes, RoutingDocument.NONE, new TreeMap<>());
  }

  /**
   * Finds a group.
   *
   * @param name group's name
   * @return group, if it exists
   */
  public Optional<GroupImage> group(String name) {
    return Optional.ofNullable(groups.get(name));
  }

  /**
   * Finds a node.
   *
   * @param name node's name
   * @return node, if it is admitted
   */
  public Optional<NodeImage> node(String name) {
    return Optional.ofNullable(nodes.get(name));
  }

  /**
   * Finds a service.
   *
   * @param name service's name
   * @return service; without members when none has registered
   */
  public ServiceImage service(String name) {
    ServiceImage known = services.get(name);
    return known == null ? ServiceImage.empty(name) : known;
  }

  /**
   * Returns whether this image is larger than a delta, as an estimate by the entries of both.
   *
   * @param delta changes that lead to this image
   * @return true if sending the changes takes fewer bytes than sending the image
   */
  public boolean isLargerThan(ClusterDelta delta) {
    long entries = nodes.size() + groups.size() + document.routes().size();
    for (ServiceImage service : services.values()) {
      entries += service.members().size();
    }
    return delta.size() <= entries;
  }

  /**
   * Removes content that only controllers need.
   *
   * @return image for nodes
   */
  public ClusterImage forNodes() {
    return new ClusterImage(
        version, configurationVersion, groups, nodes, document.withoutSource(), services);
  }

  /**
   * Applies all changes of a delta.
   *
   * @param delta delta that starts at this version
   * @return resulting image
   */
  public ClusterImage apply(ClusterDelta delta) {
    if (delta.fromVersion() != version) {
      throw new StreamcourseException(
          ErrorCode.INTERNAL,
          "apply-delta",
          "",
          "delta starts at version " + delta.fromVersion() + ", image is at " + version);
    }
    return applyAll(delta.changes());
  }

  /**
   * Applies one change. A change that no longer applies (its group was dropped, a newer term is
   * open) increases the version and has no other effect.
   *
   * @param change change to apply
   * @return next image
   */
  public ClusterImage apply(ClusterChange change) {
    return applyAll(List.of(change));
  }

  /** Copies the maps once for all changes; their values are shared with this image. */
  private ClusterImage applyAll(List<ClusterChange> changes) {
    long nextConfiguration = configurationVersion;
    TreeMap<String, GroupImage> nextGroups = new TreeMap<>(groups);
    TreeMap<String, NodeImage> nextNodes = new TreeMap<>(nodes);
    TreeMap<String, ServiceImage> nextServices = new TreeMap<>(services);
    RoutingDocument nextDocument = document;
    long nextVersion = version;
    for (ClusterChange change : changes) {
      nextVersion++;
      nextConfiguration += change instanceof ConfigurationChange ? 1 : 0;
      if (change instanceof DocumentReplaced replaced) {
        boolean newer = replaced.document().version() > nextDocument.version();
        nextDocument = newer ? replaced.document() : nextDocument;
      } else if (change instanceof DocumentEdited edited) {
        boolean fits = edited.edit().baseVersion() == nextDocument.version();
        nextDocument = fits ? edited.edit().apply(nextDocument) : nextDocument;
      } else if (applyToServices(change, nextServices, nextVersion)) {
        continue;
      } else if (change instanceof NodeAdmitted || change instanceof NodeRemoved) {
        applyToNodes(change, nextNodes);
      } else if (change instanceof NodeDrained drained) {
        nextNodes.computeIfPresent(
            drained.node(), (name, node) -> node.withDraining(drained.draining()));
      } else {
        applyToGroups(change, nextGroups);
      }
    }
    return new ClusterImage(
        nextVersion, nextConfiguration, nextGroups, nextNodes, nextDocument, nextServices);
  }

  /** Applies a change of a service; returns false for any other change. */
  private static boolean applyToServices(
      ClusterChange change, TreeMap<String, ServiceImage> services, long version) {
    if (change instanceof MemberRegistered registered) {
      ServiceImage service = services.computeIfAbsent(registered.service(), ServiceImage::empty);
      services.put(registered.service(), service.withMember(registered.member()));
    } else if (change instanceof MemberDeregistered removed) {
      services.computeIfPresent(
          removed.service(), (name, service) -> service.withoutMember(removed.member()));
    } else if (change instanceof PrimaryObserved observed) {
      updateService(
          services,
          observed.service(),
          observed.member(),
          each -> each.withPrimary(observed.member(), observed.formerTerm()));
    } else if (change instanceof PromotionOrdered ordered) {
      updateService(
          services,
          ordered.service(),
          ordered.target(),
          each -> each.withPromotion(ordered.target(), version));
    } else {
      return false;
    }
    return true;
  }

  private static void updateService(
      TreeMap<String, ServiceImage> services,
      String name,
      MemberId member,
      UnaryOperator<ServiceImage> update) {
    services.computeIfPresent(
        name,
        (key, service) -> service.member(member).isPresent() ? update.apply(service) : service);
  }

  private static void applyToNodes(ClusterChange change, TreeMap<String, NodeImage> nodes) {
    if (change instanceof NodeAdmitted admitted) {
      nodes.put(admitted.node().name(), admitted.node());
    } else if (change instanceof NodeRemoved removed) {
      nodes.computeIfPresent(
          removed.node(),
          (name, node) -> node.incarnation() == removed.incarnation() ? null : node);
    }
  }

  private static void applyToGroups(ClusterChange change, TreeMap<String, GroupImage> groups) {
    if (change instanceof GroupCreated created) {
      groups.put(created.group().name(), created.group());
    } else if (change instanceof GroupDropped dropped) {
      groups.remove(dropped.group());
    } else if (change instanceof RulesChanged changed) {
      groups.computeIfPresent(changed.group(), (name, group) -> group.withRules(changed.rules()));
    } else {
      applyToPrimary(change, groups);
      applyToMember(change, groups);
    }
  }

  private static void applyToPrimary(ClusterChange change, TreeMap<String, GroupImage> groups) {
    if (change instanceof TermOpened opened) {
      groups.computeIfPresent(
          opened.group(),
          (name, group) ->
              opened.term() > group.term() ? group.withPrimary(opened.term(), "") : group);
    } else if (change instanceof PrimaryChosen chosen) {
      groups.computeIfPresent(
          chosen.group(),
          (name, group) ->
              chosen.term() == group.term() && group.primary().isEmpty()
                  ? group.withPrimary(chosen.term(), chosen.member())
                  : group);
    } else if (change instanceof PrimaryHandedOver handed) {
      groups.computeIfPresent(
          handed.group(),
          (name, group) ->
              handed.term() == group.term() + 1 && !group.primary().isEmpty()
                  ? group.withPrimary(handed.term(), handed.member())
                  : group);
    }
  }

  private static void applyToMember(ClusterChange change, TreeMap<String, GroupImage> groups) {
    if (change instanceof MemberDrained drained) {
      updateMember(
          groups,
          drained.group(),
          drained.member(),
          member -> member.withDraining(drained.draining()));
    } else if (change instanceof LimitsChanged limits) {
      updateMember(
          groups,
          limits.group(),
          limits.member(),
          member -> member.withLimits(limits.connections(), limits.slots()));
    } else if (change instanceof AllowancesSet allowances) {
      updateMember(
          groups,
          allowances.group(),
          allowances.member(),
          member -> member.withAllowances(allowances.allowances()));
    }
  }

  private static void updateMember(
      TreeMap<String, GroupImage> groups,
      String group,
      String member,
      UnaryOperator<MemberImage> update) {
    groups.computeIfPresent(
        group,
        (name, image) -> image.member(member).map(update).map(image::withMember).orElse(image));
  }
}
