package org.streamcourse.version.agreement;

/** Sends messages between controllers; messages may be lost, delayed, duplicated or reordered. */
@FunctionalInterface
public interface AgreementNetwork {
  /**
   * Sends a message.
   *
   * @param toIdentity receiver's identity
   * @param message message to send
   */
  void send(String toIdentity, AgreementMessage message);
}
