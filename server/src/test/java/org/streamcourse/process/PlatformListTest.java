package org.streamcourse.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.expectThrows;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Set;
import org.testng.annotations.Test;

/** Tests that unknown labels of the platform's list are ignored, and that errors name the entry. */
public class PlatformListTest {
  private static Set<String> parse(String json) throws IOException {
    return PlatformList.parse(new ObjectMapper().readTree(json));
  }

  @Test
  public void findsLeavingMachines() throws IOException {
    assertEquals(
        parse(
            "[{\"targets\":[\"10.0.0.1:1\",\"10.0.0.2:1\"],\"labels\":{\"state\":\"leaving\"}},"
                + "{\"targets\":[\"10.0.0.3:1\"],\"labels\":{\"state\":\"live\",\"rack\":\"7\"}},"
                + "{\"targets\":[\"10.0.0.4:1\"]}]"),
        Set.of("10.0.0.1:1", "10.0.0.2:1"));
    assertEquals(parse("[]"), Set.of());
  }

  @Test
  public void errorNamesTheInvalidEntry() {
    IOException wrong =
        expectThrows(
            IOException.class,
            () -> parse("[{\"targets\":[]},{\"targets\":\"10.0.0.1:1\",\"labels\":{}}]"));
    assertEquals(wrong.getMessage(), "entry 1: 'targets' is not an array");
    assertThrows(IOException.class, () -> parse("{\"targets\":[]}"));
    assertThrows(IOException.class, () -> parse("[{"));
  }
}
