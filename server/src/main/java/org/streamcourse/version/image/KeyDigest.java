package org.streamcourse.version.image;

import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import org.streamcourse.process.ErrorCode;
import org.streamcourse.process.StreamcourseException;

/**
 * The first 128 bits of the SHA-256 of an access key. Keys are long and random, so the digest needs
 * no salt: a brute-force search cannot find the key or another one with the same digest. The code
 * that reads a key passes only its digest on.
 *
 * @param high first 64 bits
 * @param low next 64 bits
 */
public record KeyDigest(long high, long low) {
  private static final String ALGORITHM = "SHA-256";

  /**
   * Computes the digest of a key.
   *
   * @param key key as it was received
   * @return digest
   */
  public static KeyDigest of(byte[] key) {
    try {
      byte[] digest = MessageDigest.getInstance(ALGORITHM).digest(key);
      return new KeyDigest(bits(digest, 0), bits(digest, Long.BYTES));
    } catch (GeneralSecurityException e) {
      throw new StreamcourseException(ErrorCode.INTERNAL, "digest-key", "", e.toString(), 0, e);
    }
  }

  private static long bits(byte[] digest, int from) {
    long bits = 0;
    for (int i = from; i < from + Long.BYTES; i++) {
      bits = bits << Byte.SIZE | digest[i] & 0xff;
    }
    return bits;
  }

  /** Compares in constant time. */
  boolean matches(KeyDigest other) {
    return ((high ^ other.high) | (low ^ other.low)) == 0;
  }

  @Override
  public String toString() {
    return "key";
  }
}
