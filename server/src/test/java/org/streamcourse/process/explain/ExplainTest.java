package org.streamcourse.process.explain;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.streamcourse.process.ErrorCode;
import org.streamcourse.process.StreamcourseException;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that a request's decisions are collected from the logs of all processes. */
public class ExplainTest {
  private static final String ID = "p1-abc-3-9";

  private Path logs;

  @BeforeMethod
  public void createFolder() throws IOException {
    logs = Files.createTempDirectory("explain-test");
  }

  private void log(String process, String... lines) throws IOException {
    Files.write(logs.resolve(process + ".log"), List.of(lines));
  }

  private static String line(String time, String message, String fields) {
    return "{\"@timestamp\":\"2000-01-01T00:00:"
        + time
        + "Z\",\"@version\":\"1\",\"message\":\""
        + message
        + "\",\"logger_name\":\"l\",\"level\":\"INFO\""
        + (fields.isEmpty() ? "" : "," + fields)
        + "}";
  }

  private void logAFailedWrite() throws IOException {
    log(
        "p1",
        line("05.000", "proxy p1 accepts callers at 127.0.0.1:1", ""),
        line(
            "20.000",
            "request attempt request=" + ID,
            "\"request\":\""
                + ID
                + "\",\"database\":\"g1\",\"member\":\"m1\",\"gateway\":\"p2\","
                + "\"step\":\"admit\",\"outcome\":\"NOT_PRIMARY\",\"term\":1,"
                + "\"startedMillisAgo\":1500,\"tookMillis\":3"),
        line(
            "20.001",
            "request failed: no member could take the request in time request=" + ID,
            "\"request\":\""
                + ID
                + "\",\"database\":\"g1\",\"code\":\"NO_MEMBER_AVAILABLE\","
                + "\"step\":\"route\",\"peer\":\"m1\",\"tookMillis\":1501"),
        line(
            "20.002",
            "request failed: another request=p1-abc-3-90",
            "\"request\":\"p1-abc-3-90\",\"database\":\"g1\",\"code\":\"OVERLOADED\""),
        "no JSON at all",
        "{\"@timestamp\":\"2000-01-01T00:00:21Z\",\"mess");
    log(
        "c1",
        line("01.000", "decision kind=OLD", "\"kind\":\"OLD\",\"subject\":\"g1\""),
        line(
            "19.000",
            "decision kind=PRIMARY_CHANGE_STARTED",
            "\"kind\":\"PRIMARY_CHANGE_STARTED\",\"subject\":\"g1\","
                + "\"cause\":\"primary m1 is not reachable\",\"inputs\":\"m1: down\","
                + "\"outcome\":\"opens term 2\""),
        line(
            "19.500",
            "decision kind=PRIMARY_CHOSEN",
            "\"kind\":\"PRIMARY_CHOSEN\",\"subject\":\"other\",\"outcome\":\"m3\""),
        line("30.000", "leads term 4 as c1", ""));
  }

  @Test
  public void listsDecisionsInChronologicalOrder() throws IOException {
    logAFailedWrite();
    Explanation found = new RequestExplainer(logs).explain(ID);
    assertTrue(found.isFinal());
    List<String> listed =
        found.steps().stream().map(each -> each.node() + ' ' + each.step()).toList();
    assertEquals(listed, List.of("p1 admit", "c1 PRIMARY_CHANGE_STARTED", "p1 route"));
    assertEquals(found.ofRequest().size(), 2);
    Explanation.Step attempt = found.steps().get(0);
    assertEquals(attempt.peer(), "m1 through p2");
    assertEquals(attempt.outcome(), "NOT_PRIMARY");
    assertEquals(attempt.inputs().get("term"), "1");
  }

  @Test
  public void endsWithTheCause() throws IOException {
    logAFailedWrite();
    List<String> lines = new RequestExplainer(logs).explain(ID).lines();
    String cause = lines.get(lines.size() - 1);
    assertTrue(cause.startsWith("cause: request failed: no member could take"), cause);
    assertTrue(cause.contains("NO_MEMBER_AVAILABLE"), cause);
    assertTrue(cause.contains("primary m1 is not reachable"), cause);
    assertTrue(lines.get(1).contains("millisBeforeEnd=1501"), lines.get(1));
  }

  @Test
  public void explanationWithoutFinalDecisionIsNotFinal() throws IOException {
    log("p1", line("20.000", "request attempt", "\"request\":\"" + ID + "\",\"step\":\"admit\""));
    assertFalse(new RequestExplainer(logs).explain(ID).isFinal());
  }

  @Test
  public void findsLinesOfTheNodeThatRanTheStatementForAnotherNode() throws IOException {
    log(
        "edge",
        line(
            "20.000",
            "statement given up",
            "\"request\":\"77@4\",\"outcome\":\"BUSY\",\"plan\":\"ANY_READ\",\"cause\":\"late\""));
    log(
        "core",
        line(
            "19.000",
            "relayed statement not run",
            "\"request\":\"77\",\"sender\":\"edge\",\"member\":\"s/i-1\",\"cause\":\"full\""),
        line("18.500", "member s/i-1 is unreachable: closed", ""));
    for (String id : List.of("77", "77@4")) {
      Explanation found = new RequestExplainer(logs).explain(id);
      assertEquals(found.ofRequest().size(), 2, id);
      assertEquals(found.steps().size(), 3, id);
      assertTrue(found.isFinal(), id);
    }
  }

  /** Older builds log changes of the controllers' leader with other texts than present ones. */
  @Test
  public void includesLeadershipChangesInTheTextsOfOldAndNewBuilds() throws IOException {
    log("p1", line("20.000", "request attempt", "\"request\":\"" + ID + "\",\"step\":\"admit\""));
    List<String> messages =
        List.of(
            "became leader of term 4 as c1",
            "lost leadership: is now a follower in term 4",
            "resigned leadership: no majority responded for 700 ms",
            "proposing voters [c1] with learners [c2]",
            "leads term 4 as c1",
            "no longer leads; term is 4",
            "steps down: no majority heard for 700 ms",
            "changes voters to [c1] with learners [c2]");
    for (String message : messages) {
      log("c1", line("19.000", message, ""), line("19.500", "unrelated " + message, ""));
      Explanation found = new RequestExplainer(logs).explain(ID);
      List<String> nodes = found.steps().stream().map(Explanation.Step::node).toList();
      assertEquals(nodes, List.of("c1", "p1"), message);
    }
  }

  @Test
  public void listsTheImageMessagesOfPresentAndOlderBuilds() throws IOException {
    List<String> messages =
        List.of(
            "requests the image of p2, 80 ms after the start",
            "installs the stored image of p2, version 7, document version 3, 95 ms after the start",
            "confirmed by the controllers, image version 7, document version 3, 95 ms unconfirmed",
            "asks p2 for its image, 80 ms after the start",
            "takes a stored image of p2, version 7, document version 3, after 95 ms",
            "confirmed by the controllers, image version 7, document version 3, after 120 ms");
    for (String message : messages) {
      log(
          "p1",
          line("18.000", "image version 7", ""),
          line("19.000", message, ""),
          line("20.000", "request attempt", "\"request\":\"" + ID + "\",\"step\":\"admit\""));
      Explanation found = new RequestExplainer(logs).explain(ID);
      assertEquals(found.steps().size(), 2, message);
      assertTrue(found.lines().stream().anyMatch(each -> each.contains(message)), message);
    }
  }

  @Test
  public void unknownIdIsRefused() throws IOException {
    logAFailedWrite();
    StreamcourseException error =
        expectThrows(
            StreamcourseException.class, () -> new RequestExplainer(logs).explain("nothing"));
    assertEquals(error.code(), ErrorCode.INVALID_SETTINGS);
    assertTrue(error.getMessage().contains("ID"), error.getMessage());
    assertTrue(error.getMessage().contains("--logs"), error.getMessage());
  }

  @Test
  public void unknownFolderIsRefused() {
    StreamcourseException error =
        expectThrows(
            StreamcourseException.class, () -> new RequestExplainer(logs.resolve("nowhere")));
    assertEquals(error.code(), ErrorCode.INVALID_SETTINGS);
    assertTrue(error.getMessage().contains("--logs"), error.getMessage());
  }
}
