package org.streamcourse.request.edge;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.streamcourse.request.edge.StatementClass.Kind;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Only statements that are provably reads may go to replicas. */
public class StatementClassifierTest {
  private final StatementClassifier classifier = new StatementClassifier();

  @DataProvider
  public Object[][] statements() {
    return new Object[][] {
      {"SELECT 1", Kind.READ},
      {"select count(*) from bookings where slot = 'INSERT INTO x'", Kind.READ},
      {"SELECT a FROM b WHERE c = $1 AND d LIKE 'it''s %'", Kind.READ},
      {"WITH x AS (SELECT 1) SELECT * FROM x", Kind.READ},
      {"SELECT * FROM b FOR UPDATE", Kind.WRITE},
      {"SELECT nextval('s')", Kind.WRITE},
      {"SELECT my_function(1)", Kind.WRITE},
      {"SELECT * INTO t FROM b", Kind.WRITE},
      {"INSERT INTO b VALUES (1)", Kind.WRITE},
      {"WITH x AS (DELETE FROM b RETURNING *) SELECT * FROM x", Kind.WRITE},
      {"SELECT 1; DELETE FROM b", Kind.WRITE},
      {"this is no SQL", Kind.WRITE},
      {"BEGIN", Kind.BEGIN},
      {"BEGIN READ ONLY", Kind.BEGIN_READ_ONLY},
      {"COMMIT", Kind.END},
      {"SET application_name = 'x'", Kind.SET},
      {" ; ", Kind.EMPTY},
    };
  }

  @Test(dataProvider = "statements")
  public void classifies(String sql, Kind kind) {
    assertEquals(classifier.classify(sql).kind(), kind, sql);
  }

  @Test
  public void changesOfSessionStateAreDetected() {
    assertTrue(classifier.classify("SELECT pg_advisory_lock(7)").changesSession());
    assertTrue(classifier.classify("CREATE TEMP TABLE t (a INT)").changesSession());
  }

  @DataProvider
  public Object[][] masks() {
    return new Object[][] {
      {"SELECT 'a''b', 12 FROM t2", "SELECT 'x', 1 FROM t2"},
      {"SELECT $1, 'abc'", "SELECT $1, 'x'"},
      {"SELECT E'a\\'b'", "SELECT E'a\\'b'"},
      {"SELECT E'a'", "SELECT E'a'"},
      {"SELECT 'a' -- it's", "SELECT 'a' -- it's"},
      {"SELECT $$a'b$$", "SELECT $$a'b$$"},
      {"SELECT \"a'b\"", "SELECT \"a'b\""},
      {"SELECT 'open", "SELECT 'open"},
    };
  }

  @Test(dataProvider = "masks")
  public void masksOnlyUnambiguousLiterals(String sql, String masked) {
    assertEquals(LiteralMask.mask(sql), masked);
  }
}
