package org.streamcourse.lab.scale;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.streamcourse.process.Worker;
import org.streamcourse.version.image.Placement;

/** A database of three hollow members, one in each of three zones. */
final class HollowGroup {
  private static final int MEMBERS = 3;

  private final String name;
  private final Map<String, HollowMember> members = new TreeMap<>();
  private final Map<String, Placement> placements = new TreeMap<>();

  /**
   * Creates a group.
   *
   * @param number number of the group; decides its zones
   * @param worker worker of its members
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

  /** Writes one record at the primary and ships it. */
  void advance() {
    members.forEach(
        (primary, member) -> {
          if (member.advance()) {
            members.forEach((any, replica) -> replica.copy(primary, member.status()));
          }
        });
  }

  /** The operators' statement that creates it. */
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
