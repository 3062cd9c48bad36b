package org.streamcourse.connection.frontend;

import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.Base64;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.streamcourse.process.ErrorCode;
import org.streamcourse.process.StreamcourseException;

/**
 * Server side of one SCRAM-SHA-256 exchange (RFC 5802, RFC 7677); cryptographic functions come from
 * the SCRAM library. The exchange for an unknown user takes the same steps as for a wrong password.
 */
final class ScramExchange {
  /** SASL name of the mechanism. */
  static final String MECHANISM = "SCRAM-SHA-256";

  private static final int NONCE_BYTES = 18;
  private static final int GS2_HEADER_FIELDS = 2;
  private static final SecureRandom RANDOM = new SecureRandom();

  /** Verifier used for unknown users. */
  private static final ScramVerifier UNKNOWN_USER_VERIFIER =
      ScramVerifier.of(base64(randomBytes(NONCE_BYTES)));

  private final String user;
  private final boolean known;
  private final ScramVerifier verifier;
  private String clientFirstBare;
  private String gs2Header;
  private String serverFirst;
  private String nonce;

  ScramExchange(String user, Optional<ScramVerifier> verifier) {
    this.user = user;
    this.known = verifier.isPresent();
    this.verifier = verifier.orElse(UNKNOWN_USER_VERIFIER);
  }

  private static byte[] randomBytes(int count) {
    byte[] bytes = new byte[count];
    RANDOM.nextBytes(bytes);
    return bytes;
  }

  private static String base64(byte[] bytes) {
    return Base64.getEncoder().encodeToString(bytes);
  }

  byte[] challenge(byte[] clientFirst) {
    String text = new String(clientFirst, StandardCharsets.UTF_8);
    int bare = 0;
    for (int i = 0; i < GS2_HEADER_FIELDS; i++) {
      bare = text.indexOf(',', bare) + 1;
    }
    gs2Header = text.substring(0, bare);
    clientFirstBare = text.substring(bare);
    String clientNonce = field(clientFirstBare, 'r');
    nonce = clientNonce + base64(randomBytes(NONCE_BYTES));
    serverFirst = "r=" + nonce + ",s=" + base64(verifier.salt()) + ",i=" + ScramVerifier.ITERATIONS;
    return serverFirst.getBytes(StandardCharsets.UTF_8);
  }

  /** Verifies the caller's proof and returns the server-final message. */
  byte[] verify(byte[] clientFinal) {
    String text = new String(clientFinal, StandardCharsets.UTF_8);
    int proofAt = text.lastIndexOf(",p=");
    if (proofAt < 0 || !field(text, 'r').equals(nonce) || !channelBindingMatches(text)) {
      throw failure();
    }
    String authMessage = clientFirstBare + ',' + serverFirst + ',' + text.substring(0, proofAt);
    boolean proven = verifier.accepts(decode(field(text, 'p')), authMessage);
    if (!proven || !known) {
      throw failure();
    }
    byte[] signature = verifier.signature(authMessage);
    return ("v=" + base64(signature)).getBytes(StandardCharsets.UTF_8);
  }

  private boolean channelBindingMatches(String clientFinal) {
    byte[] binding = decode(field(clientFinal, 'c'));
    return new String(binding, StandardCharsets.UTF_8).equals(gs2Header);
  }

  private byte[] decode(String text) {
    try {
      return Base64.getDecoder().decode(text);
    } catch (IllegalArgumentException e) {
      throw failure();
    }
  }

  private String field(String message, char name) {
    Map<Character, String> fields = new TreeMap<>();
    for (String part : message.split(",")) {
      if (part.length() >= 2 && part.charAt(1) == '=') {
        fields.putIfAbsent(part.charAt(0), part.substring(2));
      }
    }
    String value = fields.get(name);
    if (value == null) {
      throw failure();
    }
    return value;
  }

  private StreamcourseException failure() {
    return new StreamcourseException(
        ErrorCode.AUTHENTICATION_FAILED,
        "login",
        "",
        "password authentication failed for user \"" + user + "\"");
  }
}
