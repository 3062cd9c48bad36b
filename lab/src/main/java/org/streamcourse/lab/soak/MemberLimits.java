package org.streamcourse.lab.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.streamcourse.lab.fleet.Fleet;
import org.streamcourse.lab.soak.SoakHistory.MemberExcess;

/** Finds in the members' own logs where more connections or statements came than they take. */
final class MemberLimits {
  private MemberLimits() {}

  static List<MemberExcess> excesses(Fleet fleet, Path folder) throws IOException {
    List<MemberExcess> found = new ArrayList<>();
    for (Fleet.MemberHandle member : fleet.members()) {
      String name = member.process().name();
      try (Stream<String> lines = Files.lines(folder.resolve(name + ".log"))) {
        lines
            .filter(line -> line.contains("limit") && line.contains("exceeded"))
            .forEach(line -> found.add(new MemberExcess(name, line)));
      }
    }
    return found;
  }
}
