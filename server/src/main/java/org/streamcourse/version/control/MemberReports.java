package org.streamcourse.version.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.streamcourse.version.control.ControlMessage.MemberReport;

/**
 * A node's reports on members: the newest one of each member, and those that no confirmed heartbeat
 * has contained yet.
 */
final class MemberReports {
  private final Map<String, MemberReport> newest = new TreeMap<>();
  private final Map<String, MemberReport> unconfirmed = new TreeMap<>();
  private final Map<String, Long> firstSentIn = new HashMap<>();
  private boolean withdrawn;

  private static String key(String group, String member) {
    return group + '/' + member;
  }

  /** Adds a report; returns whether it differs from the one before. */
  boolean put(MemberReport report) {
    String key = key(report.group(), report.member());
    if (report.equals(newest.put(key, report))) {
      return false;
    }
    unconfirmed.put(key, report);
    firstSentIn.remove(key);
    return true;
  }

  /** Removes a member's report. */
  void withdraw(String group, String member) {
    if (newest.remove(key(group, member)) != null) {
      unconfirmed.remove(key(group, member));
      withdrawn = true;
    }
  }

  /**
   * Returns whether a report was withdrawn since the last call, so that the next heartbeat must
   * contain all reports.
   */
  boolean takeWithdrawn() {
    boolean was = withdrawn;
    withdrawn = false;
    return was;
  }

  /** Returns the reports for a heartbeat: all of them, or the unconfirmed ones. */
  List<MemberReport> toSend(boolean all, long sequence) {
    unconfirmed.keySet().forEach(key -> firstSentIn.putIfAbsent(key, sequence));
    return new ArrayList<>(all ? newest.values() : unconfirmed.values());
  }

  /**
   * Marks reports as confirmed if they were first sent in this heartbeat or an earlier one. Later
   * reports are sent again, since their heartbeat may be lost although an earlier one was answered.
   */
  void confirmed(long sequence) {
    unconfirmed.keySet().removeIf(key -> firstSentIn.getOrDefault(key, Long.MAX_VALUE) <= sequence);
    firstSentIn.keySet().retainAll(unconfirmed.keySet());
  }
}
