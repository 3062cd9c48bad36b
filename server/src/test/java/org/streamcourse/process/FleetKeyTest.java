package org.streamcourse.process;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HexFormat;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Signatures are HMAC-SHA-256 truncated to 16 bytes, so that other builds can verify them. */
public class FleetKeyTest {
  @Test
  public void matchesTheTestVectorOfRfc4231() {
    // RFC 4231, test case 2.
    byte[] signature = new FleetKey("Jefe").sign("what do ya want for nothing?");
    assertEquals(HexFormat.of().formatHex(signature), "5bdcc146bf60754e6a042426089575c7");
  }

  @DataProvider
  public Object[][] secrets() {
    return new Object[][] {
      {"k"}, {"x".repeat(63)}, {"x".repeat(64)}, {"x".repeat(65)}, {"\u00e9".repeat(100)}
    };
  }

  @Test(dataProvider = "secrets")
  public void matchesTheJdkImplementation(String secret) throws Exception {
    Mac mac = Mac.getInstance("HmacSHA256");
    mac.init(new SecretKeySpec(secret.getBytes(StandardCharsets.UTF_8), "HmacSHA256"));
    byte[] expected = mac.doFinal("a text".getBytes(StandardCharsets.UTF_8));
    assertEquals(new FleetKey(secret).sign("a text"), Arrays.copyOf(expected, 16));
  }

  @Test
  public void verifiesOnlyItsOwnSignatures() {
    FleetKey key = new FleetKey("secret");
    assertTrue(key.verifies("text", key.sign("text")));
    assertFalse(key.verifies("other", key.sign("text")));
    assertFalse(new FleetKey("another").verifies("text", key.sign("text")));
    assertFalse(key.verifies("text", new byte[0]));
  }
}
