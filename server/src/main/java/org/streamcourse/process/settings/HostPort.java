package org.streamcourse.process.settings;

/**
 * An address in a settings file, written {@code IP:PORT}.
 *
 * @param host IP number
 * @param port TCP port
 */
public record HostPort(String host, int port) {
  private static final int MAX_PORT = 65_535;

  /**
   * Parses an address.
   *
   * @param text {@code IP:PORT}
   * @return address
   * @throws IllegalArgumentException when the text has another form
   */
  public static HostPort parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0) {
      throw new IllegalArgumentException("'" + text + "' is not IP:PORT");
    }
    int port;
    try {
      port = Integer.parseInt(text.substring(colon + 1));
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("'" + text + "' has no port number", e);
    }
    if (port < 1 || port > MAX_PORT) {
      throw new IllegalArgumentException("port of '" + text + "' is not in 1.." + MAX_PORT);
    }
    return new HostPort(text.substring(0, colon), port);
  }

  @Override
  public String toString() {
    return host + ':' + port;
  }
}
