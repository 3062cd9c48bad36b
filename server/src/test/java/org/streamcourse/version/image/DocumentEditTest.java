package org.streamcourse.version.image;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.streamcourse.process.MessageCodec;
import org.streamcourse.request.StreamTypes;
import org.streamcourse.version.image.ClusterChange.DocumentEdited;
import org.streamcourse.version.image.ClusterChange.DocumentReplaced;
import org.testng.annotations.Test;

/** An edit makes exactly the second version, and costs what has changed. */
public class DocumentEditTest {
  private static final int ROUTES = 700;

  private final MessageCodec codec = StreamTypes.codec();

  private static List<Integer> randomList(Random random) {
    List<Integer> list = new ArrayList<>();
    for (int i = random.nextInt(40); i > 0; i--) {
      list.add(random.nextInt(30));
    }
    return list;
  }

  private static List<Integer> changed(List<Integer> base, Random random) {
    List<Integer> list = new ArrayList<>(base);
    for (int i = random.nextInt(6); i > 0 && !list.isEmpty(); i--) {
      int at = random.nextInt(list.size());
      switch (random.nextInt(3)) {
        case 0 -> list.remove(at);
        case 1 -> list.add(at, random.nextInt(60));
        default -> list.set(at, random.nextInt(60));
      }
    }
    return list;
  }

  @Test
  public void listsWithAnyDifferenceAreRestored() {
    for (long seed = 0; seed < 5_000; seed++) {
      Random random = new Random(seed);
      List<Integer> base = randomList(random);
      List<Integer> target = random.nextInt(3) == 0 ? randomList(random) : changed(base, random);
      assertEquals(ListEdit.between(base, target).apply(base), target, "seed " + seed);
    }
  }

  private static String text(List<Integer> list, Random random) {
    StringBuilder text = new StringBuilder();
    for (int each : list) {
      text.append(each % 3 == 0 ? "}" : "x").append(each);
      text.append(random.nextInt(20) == 0 ? "y".repeat(3_000) : "");
    }
    return text.toString();
  }

  @Test
  public void textsWithAnyDifferenceAreRestored() {
    for (long seed = 0; seed < 2_000; seed++) {
      Random random = new Random(seed);
      List<Integer> list = randomList(random);
      String base = text(list, random);
      String target = text(changed(list, random), random);
      assertEquals(TextEdit.between(base, target).apply(base), target, "seed " + seed);
    }
  }

  /** Guards against logs and messages that hold a whole document for each change of one route. */
  @Test
  public void aChangedRouteCostsItsOwnBytes() {
    LargeDocument versions = new LargeDocument(ROUTES);
    RoutingDocument base = versions.addRoute();
    RoutingDocument target = versions.changeRoute(ROUTES / 2);
    DocumentEdit edit = DocumentEdit.between(base, target);
    assertTrue(edit.isShorterThan(target));
    int whole = codec.encode(new DocumentReplaced(target)).length;
    int difference = codec.encode(new DocumentEdited(edit)).length;
    assertTrue(difference < 1_000, difference + " bytes for one of " + ROUTES + " routes");
    assertTrue(whole > 100_000, whole + " bytes for the document");
    assertEquals(edit.apply(base), target);
  }

  /** Guards against images that each hold copies of all routes. */
  @Test
  public void unchangedRoutesAreTheSameObjects() {
    LargeDocument versions = new LargeDocument(ROUTES);
    RoutingDocument base = versions.addRoute();
    RoutingDocument target = versions.changeRoute(0);
    DocumentEdited received =
        (DocumentEdited)
            codec.decode(codec.encode(new DocumentEdited(DocumentEdit.between(base, target))));
    ClusterImage image = ClusterImage.EMPTY.apply(new DocumentReplaced(base)).apply(received);
    assertEquals(image.document(), target);
    for (int i = 1; i <= ROUTES; i++) {
      assertSame(image.document().routes().get(i), base.routes().get(i));
    }
  }

  @Test
  public void nodesApplyAnEditWithoutItsSource() {
    LargeDocument versions = new LargeDocument(ROUTES);
    RoutingDocument base = versions.addRoute();
    RoutingDocument target = versions.addRoute();
    ClusterDelta delta =
        new ClusterDelta(1, List.of(new DocumentEdited(DocumentEdit.between(base, target))));
    ClusterImage node = ClusterImage.EMPTY.apply(new DocumentReplaced(base)).forNodes();
    assertEquals(node.apply(delta.forNodes()).document(), target.withoutSource());
    assertTrue(codec.encode(delta.forNodes()).length < 300);
  }

  @Test
  public void anEditOfAnotherVersionHasNoEffect() {
    LargeDocument versions = new LargeDocument(1);
    RoutingDocument base = versions.addRoute();
    DocumentEdit edit = DocumentEdit.between(versions.addRoute(), versions.addRoute());
    ClusterImage image = ClusterImage.EMPTY.apply(new DocumentReplaced(base));
    ClusterImage next = image.apply(new DocumentEdited(edit));
    assertSame(next.document(), base);
    assertEquals(next.version(), image.version() + 1);
  }

  private static String sourceText(Random random) {
    String[] pieces = {"}", "{", "\\\"}\\\"", "\\u007d", "é", "\uD83D\uDE00", "\uD83D\uDE01", "x"};
    StringBuilder text = new StringBuilder("z".repeat(random.nextInt(3)));
    for (int i = random.nextInt(400); i > 0; i--) {
      String piece = pieces[random.nextInt(pieces.length)];
      text.append(random.nextInt(30) == 0 ? piece.repeat(1_100) : piece);
    }
    return text.toString();
  }

  private static String changedText(String base, Random random) {
    StringBuilder text = new StringBuilder(base);
    for (int i = random.nextInt(4); i > 0 && text.length() > 0; i--) {
      int at = random.nextInt(text.length());
      switch (random.nextInt(3)) {
        case 0 -> text.setCharAt(at, (char) ('\uDE00' + random.nextInt(2)));
        case 1 -> text.insert(at, "\uD83D\uDE00");
        default -> text.delete(at, Math.min(text.length(), at + random.nextInt(50)));
      }
    }
    return text.toString();
  }

  private static RoutingDocument document(
      long version, List<Integer> rules, String source, Random random) {
    List<RouteRule> routes =
        rules.stream()
            .map(i -> new RouteRule("d" + i, "s", RouteConsistency.PRIMARY, i, 1, 1, 1, 1, false))
            .toList();
    List<ServiceRules> services =
        changed(rules, random).stream().map(i -> new ServiceRules("s" + i, i, i % 2)).toList();
    List<TenantRule> tenants =
        changed(rules, random).stream()
            .map(i -> new TenantRule(new TenantId("t" + i), List.of(), i, 1.5 * i, i))
            .toList();
    SessionLimits limits = new SessionLimits(random.nextInt(5));
    return new RoutingDocument(version, routes, services, limits, tenants, source);
  }

  /** Guards against a document that differs between the log, the nodes and what was sent. */
  @Test
  public void documentsWithAnyDifferenceAreRestoredFromAnEncodedEdit() {
    for (long seed = 0; seed < 2_000; seed++) {
      Random random = new Random(seed);
      List<Integer> rules = randomList(random);
      String source = sourceText(random);
      RoutingDocument base = document(1, rules, source, random);
      boolean other = random.nextInt(4) == 0;
      RoutingDocument target =
          document(
              2,
              other ? randomList(random) : changed(rules, random),
              other ? sourceText(random) : changedText(source, random),
              random);
      ClusterChange edit = new DocumentEdited(DocumentEdit.between(base, target));
      ClusterDelta delta = new ClusterDelta(1, List.of(edit));
      ClusterImage image = ClusterImage.EMPTY.apply(new DocumentReplaced(base));
      assertEquals(image.apply(decoded(delta)).document(), target, "seed " + seed);
      assertEquals(
          image.forNodes().apply(decoded(delta.forNodes())).document(),
          target.withoutSource(),
          "seed " + seed);
    }
  }

  private ClusterDelta decoded(ClusterDelta delta) {
    return (ClusterDelta) codec.decode(codec.encode(delta));
  }
}
