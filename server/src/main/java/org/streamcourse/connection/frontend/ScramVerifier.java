package org.streamcourse.connection.frontend;

import com.ongres.scram.common.ScramFunctions;
import com.ongres.scram.common.ScramMechanism;
import com.ongres.scram.common.StringPreparation;
import java.security.SecureRandom;

/**
 * Keys with which a server checks a user's SCRAM proofs (RFC 5802). They are derived from the
 * password once, because the 4,096 iterations of the derivation would add milliseconds to each
 * login.
 */
public final class ScramVerifier {
  /** SCRAM mechanism of all logins. */
  static final ScramMechanism MECHANISM = ScramMechanism.SCRAM_SHA_256;

  /** Iterations of the key derivation. */
  static final int ITERATIONS = 4_096;

  private static final int SALT_BYTES = 16;
  private static final SecureRandom RANDOM = new SecureRandom();

  private final byte[] salt;
  private final byte[] storedKey;
  private final byte[] serverKey;

  private ScramVerifier(byte[] salt, byte[] storedKey, byte[] serverKey) {
    this.salt = salt;
    this.storedKey = storedKey;
    this.serverKey = serverKey;
  }

  /**
   * Derives a verifier under a new random salt.
   *
   * @param password user's password
   * @return verifier
   */
  public static ScramVerifier of(String password) {
    byte[] salt = new byte[SALT_BYTES];
    RANDOM.nextBytes(salt);
    byte[] salted =
        ScramFunctions.saltedPassword(
            MECHANISM,
            StringPreparation.POSTGRESQL_PREPARATION,
            password.toCharArray(),
            salt,
            ITERATIONS);
    byte[] clientKey = ScramFunctions.clientKey(MECHANISM, salted);
    return new ScramVerifier(
        salt,
        ScramFunctions.storedKey(MECHANISM, clientKey),
        ScramFunctions.serverKey(MECHANISM, salted));
  }

  byte[] salt() {
    return salt;
  }

  /** Returns whether a caller's proof was made with the user's password. */
  boolean accepts(byte[] proof, String authMessage) {
    return ScramFunctions.verifyClientProof(MECHANISM, proof, storedKey, authMessage);
  }

  /** Returns the signature by which the caller verifies the server. */
  byte[] signature(String authMessage) {
    return ScramFunctions.serverSignature(MECHANISM, serverKey, authMessage);
  }
}
