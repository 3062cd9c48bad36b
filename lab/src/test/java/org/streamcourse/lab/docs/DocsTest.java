package org.streamcourse.lab.docs;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.streamcourse.lab.simulation.Scenario;
import org.streamcourse.lab.simulation.ServiceScenario;
import org.streamcourse.process.SettingsReference;
import org.testng.annotations.Test;

/**
 * Guards against pages that refer to missing files, tests or scenarios, or differ from the
 * settings.
 */
public class DocsTest {
  private static final Path ROOT = Path.of("").toAbsolutePath().getParent();
  private static final Pattern LINK = Pattern.compile("\\]\\(([^)#:]+)(#[^)]*)?\\)");
  private static final Pattern TEST = Pattern.compile("`(\\w+Test)\\.(\\w+)`");
  private static final Pattern SCENARIO = Pattern.compile("`scenario:([a-z-]+)`");

  private static List<Path> pages() throws IOException {
    List<Path> pages = new ArrayList<>();
    pages.add(ROOT.resolve("README.md"));
    pages.add(ROOT.resolve("DEVELOPERS.md"));
    try (Stream<Path> docs = Files.walk(ROOT.resolve("docs"))) {
      docs.filter(each -> each.toString().endsWith(".md")).forEach(pages::add);
    }
    return pages;
  }

  @Test
  public void linksResolve() throws IOException {
    List<String> broken = new ArrayList<>();
    int links = 0;
    for (Path page : pages()) {
      Matcher link = LINK.matcher(Files.readString(page));
      while (link.find()) {
        links++;
        if (!Files.exists(page.getParent().resolve(link.group(1)))) {
          broken.add(ROOT.relativize(page) + " -> " + link.group(1));
        }
      }
    }
    assertEquals(broken, List.of());
    assertTrue(links > 15, "only " + links + " links were found");
  }

  @Test
  public void provenPointsNameTestsThatExist() throws IOException {
    String proofs = Files.readString(ROOT.resolve("docs/PROOFS.md"));
    List<String> missing = new ArrayList<>();
    Matcher test = TEST.matcher(proofs);
    int found = 0;
    while (test.find()) {
      found++;
      if (!isTest(test.group(1), test.group(2))) {
        missing.add(test.group());
      }
    }
    Matcher scenario = SCENARIO.matcher(proofs);
    while (scenario.find()) {
      found++;
      if (Scenario.named(scenario.group(1)).isEmpty()) {
        missing.add(scenario.group());
      }
    }
    assertEquals(missing, List.of());
    assertTrue(found > 40, "only " + found + " names were found");
  }

  private static boolean isTest(String type, String method) throws IOException {
    try (Stream<Path> sources = Files.walk(ROOT)) {
      List<Path> files =
          sources
              .filter(each -> each.endsWith(type + ".java"))
              .filter(each -> each.toString().contains("src/test"))
              .toList();
      return files.size() == 1
          && Files.readString(files.get(0)).contains("public void " + method + "(");
    }
  }

  @Test
  public void everyScenarioIsInTheProofs() throws IOException {
    String proofs = Files.readString(ROOT.resolve("docs/PROOFS.md"));
    for (Scenario scenario : Scenario.values()) {
      assertTrue(proofs.contains("`scenario:" + scenario.label() + "`"), scenario.label());
    }
  }

  @Test
  public void everyServiceScenarioIsInTheProofs() throws IOException {
    String proofs = Files.readString(ROOT.resolve("docs/PROOFS.md"));
    for (ServiceScenario scenario : ServiceScenario.values()) {
      assertTrue(proofs.contains('`' + scenario.label() + '`'), scenario.label());
    }
  }

  @Test
  public void settingsReferenceIsWhatTheCodeSays() throws IOException {
    assertEquals(
        Files.readString(ROOT.resolve("docs/operations/settings.md")),
        SettingsReference.markdown());
  }
}
