package org.streamcourse.version.language;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import org.streamcourse.process.ErrorCode;
import org.streamcourse.process.StreamcourseException;
import org.streamcourse.version.image.ClusterImage;
import org.streamcourse.version.language.AdminStatement.Change;
import org.streamcourse.version.language.AdminStatement.Show;
import org.streamcourse.version.language.AdminStatement.SwitchPrimary;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The operators' language: accepted statements and the errors for invalid ones. */
public class StatementParserTest {
  private final StatementParser parser = new StatementParser(ClusterImage.EMPTY);

  @Test
  public void parsesQueries() {
    Show show =
        (Show)
            parser.parse(
                "show members where role = 'PRIMARY' and reachable = true"
                    + " order by group desc limit 5;");
    assertEquals(show.subject(), AdminStatement.Subject.MEMBERS);
    assertEquals(show.conditions().size(), 2);
    assertTrue(show.descending());
    assertEquals(show.limit(), 5);
  }

  @Test
  public void parsesShowTenants() {
    Show show = (Show) parser.parse("SHOW TENANTS WHERE refused > 0 ORDER BY refused DESC");
    assertEquals(show.subject(), AdminStatement.Subject.TENANTS);
  }

  @Test
  public void parsesCommandsWithPreconditions() {
    Change change = (Change) parser.parse("DROP GROUP bookings AT VERSION 12 COMMAND 'c-1'");
    assertEquals(change.precondition().expectedVersion(), 12);
    assertEquals(change.precondition().commandId(), "c-1");
    SwitchPrimary planned = (SwitchPrimary) parser.parse("SWITCH PRIMARY OF GROUP bookings TO m2");
    assertEquals(planned.member(), "m2");
  }

  @DataProvider
  public Object[][] syntaxErrors() {
    return new Object[][] {
      {"SHOW TABLES", "line 1, column 6"},
      {"SHOW MEMBERS WHERE", "line 1, column 19"},
      {"DRAIN MEMBER m1\nOF GROUP g", "line 2, column 1"},
      {"SHOW NODES; SHOW NODES", "line 1, column 13"},
      {"CREATE GROUP g MEMBERS ()", "line 1, column 25"},
      {"", "line 1, column 1"},
      {"SHOW NODES WHERE name = 'open", "line 1, column 25"},
    };
  }

  @Test(dataProvider = "syntaxErrors")
  public void errorsContainLineAndColumn(String text, String location) {
    StreamcourseException error =
        expectThrows(StreamcourseException.class, () -> parser.parse(text));
    assertEquals(error.code(), ErrorCode.INVALID_COMMAND);
    assertTrue(error.getMessage().contains(location), error.getMessage());
  }

  @Test
  public void errorsContainTheExpectedToken() {
    StreamcourseException error =
        expectThrows(StreamcourseException.class, () -> parser.parse("DRAIN MEMBER m1 OF g"));
    assertTrue(error.getMessage().contains("IN"), error.getMessage());
  }
}
