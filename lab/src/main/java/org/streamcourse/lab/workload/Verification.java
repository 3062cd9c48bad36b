package org.streamcourse.lab.workload;

import java.sql.Connection;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.streamcourse.lab.fleet.Fleet;

/**
 * Counts the bookings for which the outcome reported to callers differs from the databases.
 *
 * @param lostWrites acknowledged bookings that are missing
 * @param duplicateWrites bookings that are stored more than once
 * @param falseNotRun bookings that are stored although they were refused as not run
 */
public record Verification(long lostWrites, long duplicateWrites, long falseNotRun) {
  private static final int MAX_ATTEMPTS = 100;
  private static final long RETRY_MILLIS = 100;

  /**
   * Reads all databases through the fleet and compares them with a journal.
   *
   * @param fleet the fleet
   * @param journal responses that callers received
   * @return result
   * @throws Exception when a database can't be read
   */
  public static Verification of(Fleet fleet, Journal journal) throws Exception {
    WriteComparison compared = WriteComparison.of(journal.writes(), found(fleet));
    return new Verification(
        compared.lost().size(), compared.duplicates().size(), compared.falseNotRun().size());
  }

  /**
   * Reads all bookings of all databases through the fleet.
   *
   * @param fleet the fleet
   * @return number of rows of each booking, by id
   * @throws Exception when a database can't be read
   */
  public static Map<String, Integer> found(Fleet fleet) throws Exception {
    Map<String, Integer> found = new HashMap<>();
    for (String database : fleet.profile().databases()) {
      readAll(fleet, database, found);
    }
    return found;
  }

  private static void readAll(Fleet fleet, String database, Map<String, Integer> found)
      throws Exception {
    SQLException last = null;
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      int proxy = attempt % fleet.proxies().size();
      try (Connection connection =
              Fleet.connect(fleet.proxies().get(proxy).callers(), database, "");
          Statement statement = connection.createStatement();
          ResultSet rows =
              statement.executeQuery("SELECT id, count(*) FROM bookings GROUP BY id")) {
        while (rows.next()) {
          found.put(rows.getString(1), rows.getInt(2));
        }
        return;
      } catch (SQLException e) {
        last = e;
        TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
      }
    }
    throw last;
  }
}
