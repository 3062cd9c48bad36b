package org.streamcourse.lab.scale;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.streamcourse.process.Worker;
import org.streamcourse.version.image.Placement;

/** A group of three hollow members in three different zones. */
final class HollowGroup {
  private static final int MEMBERS = 3;

  private final String name;
  private final Map<String, HollowMember> members = new TreeMap<>();
  private final Map<String, Placement> placements = new TreeMap<>();

  /**
   * Creates a group.
   *
   * @param number number of the group; determines the zones of its members
   * @param worker worker that runs the members
   */
  HollowGroup(int number, Worker worker) {
    name = "db" + number;
    for (int i = 0; i < MEMBERS; i++) {
      String member = "m" + (i + 1);
      members.put(member, new HollowMember(member, worker));
      placements.put(member, Zones.placement(number + i * Zones.STEP));
    }
  }

  String name() {
    return name;
  }

  Map<String, HollowMember> members() {
    return members;
  }

  Placement placementOf(String member) {
    return placements.get(member);
  }

  Optional<HollowMember> member(String member) {
    return Optional.ofNullable(members.get(member));
  }

  /**
   * Advances the log position of the primary by one record, and that of the replicas that follow
   * it.
   */
  void advance() {
    members.forEach(
        (primary, member) -> {
          if (member.advance()) {
            members.forEach((any, replica) -> replica.follow(primary, member.status()));
          }
        });
  }

  /** Operators' statement that creates the group. */
  String createStatement() {
    StringBuilder sql = new StringBuilder("CREATE GROUP " + name + " MEMBERS (");
    String separator = "";
    for (String member : members.keySet()) {
      Placement placement = placements.get(member);
      sql.append(separator)
          .append(member)
          .append(" AT '127.0.0.1:1' REGION ")
          .append(placement.region())
          .append(" ZONE ")
          .append(placement.zone())
          .append(" CONNECTIONS 100 SLOTS 10");
      separator = ", ";
    }
    return sql.append(") COMMAND 'create-").append(name).append("'").toString();
  }
}
