package org.streamcourse.lab.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.streamcourse.lab.fleet.Fleet;
import org.streamcourse.lab.soak.SoakHistory.LimitViolation;

/** Finds the lines in members' logs that report a connection or statement limit as exceeded. */
final class MemberLimits {
  private MemberLimits() {}

  static List<LimitViolation> violations(Fleet fleet, Path folder) throws IOException {
    List<LimitViolation> found = new ArrayList<>();
    for (Fleet.MemberHandle member : fleet.members()) {
      String name = member.process().name();
      try (Stream<String> lines = Files.lines(folder.resolve(name + ".log"))) {
        lines
            .filter(line -> line.contains("limit") && line.contains("exceeded"))
            .forEach(line -> found.add(new LimitViolation(name, line)));
      }
    }
    return found;
  }
}
