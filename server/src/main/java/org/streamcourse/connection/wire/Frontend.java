package org.streamcourse.connection.wire;

import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Builders of frontend messages, with their type bytes. */
public final class Frontend {
  /** Simple query. */
  public static final char QUERY = 'Q';

  /** Parse of a prepared statement. */
  public static final char PARSE = 'P';

  /** Bind of a portal. */
  public static final char BIND = 'B';

  /** Describe of a statement or portal. */
  public static final char DESCRIBE = 'D';

  /** Execute of a portal. */
  public static final char EXECUTE = 'E';

  /** Close of a statement or portal. */
  public static final char CLOSE = 'C';

  /** End of an extended-protocol request. */
  public static final char SYNC = 'S';

  /** Request to deliver all pending responses without ending the extended-protocol request. */
  public static final char FLUSH = 'H';

  /** Password or SASL response. */
  public static final char PASSWORD = 'p';

  /** Termination of the connection. */
  public static final char TERMINATE = 'X';

  /** Version number of the protocol, 3.0. */
  public static final int PROTOCOL_VERSION = 3 << 16;

  /** Code in place of the protocol version that marks a cancel request. */
  public static final int CANCEL_CODE = 80877102;

  /** Code in place of the protocol version that marks an SSLRequest. */
  public static final int TLS_CODE = 80877103;

  /** Code in place of the protocol version that marks a GSSENCRequest. */
  public static final int GSS_CODE = 80877104;

  /** Marks a statement in Describe and Close. */
  public static final char STATEMENT = 'S';

  /** Marks a portal in Describe and Close. */
  public static final char PORTAL = 'P';

  private Frontend() {}

  /**
   * Builds a simple query.
   *
   * @param sql text of the query
   * @return bytes
   */
  public static byte[] query(String sql) {
    return WireBuilder.message(QUERY).text(sql).bytes();
  }

  /**
   * Builds a startup message.
   *
   * @param parameters startup parameters, such as user and database
   * @return bytes
   */
  public static byte[] startup(Map<String, String> parameters) {
    WireBuilder builder = WireBuilder.untyped().int32(PROTOCOL_VERSION);
    parameters.forEach((name, value) -> builder.text(name).text(value));
    return builder.int8(0).bytes();
  }

  /**
   * Builds a cancel request.
   *
   * @param process process id of the backend key
   * @param secret secret of the backend key
   * @return bytes
   */
  public static byte[] cancel(int process, int secret) {
    return WireBuilder.untyped().int32(CANCEL_CODE).int32(process).int32(secret).bytes();
  }

  /**
   * Builds a password message.
   *
   * @param password the password
   * @return bytes
   */
  public static byte[] password(String password) {
    return WireBuilder.message(PASSWORD)
        .raw(password.getBytes(StandardCharsets.UTF_8))
        .int8(0)
        .bytes();
  }

  /**
   * Builds a Terminate message.
   *
   * @return bytes
   */
  public static byte[] terminate() {
    return WireBuilder.message(TERMINATE).bytes();
  }
}
