package org.streamcourse.process.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.streamcourse.process.ErrorCode;
import org.streamcourse.process.StreamcourseException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests defaults of settings files, and errors that name the file, line and field. */
public class SettingsReaderTest {
  private static final String VALID =
      """
      name: c1
      dataFolder: /tmp/c1
      links: 127.0.0.1:7001
      admin: 127.0.0.1:7002
      fleetKey: secret
      controllers:
        - {name: c1, address: "127.0.0.1:7001"}
      operators:
        - {name: op, password: pw}
      """;

  private static Path file(String text) throws IOException {
    Path file = Files.createTempFile("settings", ".yaml");
    file.toFile().deleteOnExit();
    return Files.writeString(file, text);
  }

  @Test
  public void fillsInDefaults() throws IOException {
    ControllerSettings settings = SettingsReader.read(file(VALID), ControllerSettings.class);
    assertEquals(settings.name(), "c1");
    assertTrue(settings.routes().isEmpty());
  }

  @DataProvider
  public Object[][] mistakes() {
    return new Object[][] {
      {VALID + "colour: red\n", "line 10", "colour"},
      {VALID.replace("name: c1\n", ""), "", "name"},
      {VALID.replace("links: 127.0.0.1:7001", "links: nowhere"), "", "links"},
      {VALID.replace("links: 127.0.0.1:7001", "links: 127.0.0.1:99999"), "", "links"},
      {VALID.replace("password: pw", "pass: pw"), "line 9", "operators[0].pass"},
      {VALID + "name: again\n", "line 10", "name"},
      {"", "", "no fields"},
      {"name: [", "line", ""},
      {"- name: c1\n", "", "no fields"},
      {VALID.replace("name: c1\n", "name: \"\"\n"), "line 1", "'name' is empty"},
      {VALID.replace("name: c1\n", "name: null\n"), "", "'name' is missing"},
      {VALID.replace("name: c1\n", "name: [c1]\n"), "line 1", "'name'"},
      {VALID.replace("links: 127.0.0.1:7001", "links: 127.0.0.1:x"), "line 3", "'links'"},
      {VALID + "routes: here\n", "line 10", "'routes' is not a list"},
    };
  }

  @Test(dataProvider = "mistakes")
  public void errorNamesFileLineAndField(String text, String line, String field)
      throws IOException {
    Path file = file(text);
    StreamcourseException error =
        expectThrows(
            StreamcourseException.class, () -> SettingsReader.read(file, ControllerSettings.class));
    assertEquals(error.code(), ErrorCode.INVALID_SETTINGS);
    String message = error.getMessage();
    assertTrue(message.contains(file.getFileName().toString()), message);
    assertTrue(message.contains(line), message);
    assertTrue(message.contains(field), message);
  }

  private static final String PROXY =
      """
      name: e1
      region: r
      zone: z
      sessions: 127.0.0.1:7001
      readiness: 127.0.0.1:7002
      links: 127.0.0.1:7003
      fleetKey: secret
      controllerSeeds: ["127.0.0.2:7004", "127.0.0.3:7004"]
      controllerLinkPort: 7003
      """;

  @Test
  public void readsNumbersAndLists() throws IOException {
    StatementProxySettings settings =
        SettingsReader.read(file(PROXY + "sampleEvery: 7\n"), StatementProxySettings.class);
    assertEquals(settings.controllerSeeds().get(1), new HostPort("127.0.0.3", 7004));
    assertEquals(settings.controllerLinkPort(), Integer.valueOf(7003));
    assertEquals(settings.sampleEvery(), Integer.valueOf(7));
    assertEquals(settings.graceSeconds(), Integer.valueOf(10));
    assertNull(settings.metrics());
  }

  @DataProvider
  public Object[][] wrongValues() {
    return new Object[][] {
      {"graceSeconds: 0\n", "line 10", "'graceSeconds' is 0 s, allowed are 1 to 3600 s"},
      {"graceSeconds: 1.5\n", "line 10", "'graceSeconds'"},
      {"graceSeconds: soon\n", "line 10", "'graceSeconds'"},
      {"graceSeconds: [1]\n", "line 10", "'graceSeconds'"},
      {"metrics: {port: 1}\n", "line 10", "'metrics'"},
    };
  }

  @Test(dataProvider = "wrongValues")
  public void refusesWrongValues(String setting, String line, String field) throws IOException {
    Path file = file(PROXY + setting);
    StreamcourseException error =
        expectThrows(
            StreamcourseException.class,
            () -> SettingsReader.read(file, StatementProxySettings.class));
    assertTrue(error.getMessage().contains(line), error.getMessage());
    assertTrue(error.getMessage().contains(field), error.getMessage());
  }

  @Test
  public void readsJson() throws IOException {
    String json =
        "{\"name\":\"e1\",\"region\":\"r\",\"zone\":\"z\",\"sessions\":\"127.0.0.1:1\","
            + "\"readiness\":\"127.0.0.1:2\",\"links\":\"127.0.0.1:3\",\"fleetKey\":\"k\","
            + "\"controllerSeeds\":[],\"controllerLinkPort\":4,\"metrics\":null}";
    StatementProxySettings settings = SettingsReader.read(file(json), StatementProxySettings.class);
    assertEquals(settings.sessions(), new HostPort("127.0.0.1", 1));
  }

  /** Guards against a half-written file that ends the thread that reads it. */
  @Test
  public void aFileThatIsCutAnywhereIsReadOrRefused() throws IOException {
    for (int length = 0; length < PROXY.length(); length++) {
      Path file = file(PROXY.substring(0, length));
      try {
        SettingsReader.read(file, StatementProxySettings.class);
      } catch (StreamcourseException e) {
        assertEquals(e.code(), ErrorCode.INVALID_SETTINGS);
      }
      Files.delete(file);
    }
  }
}
