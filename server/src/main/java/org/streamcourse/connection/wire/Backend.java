package org.streamcourse.connection.wire;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Builders and readers of backend messages, with their type bytes. */
public final class Backend {
  /** Authentication request. */
  public static final char AUTHENTICATION = 'R';

  /** Report of a run-time parameter's value. */
  public static final char PARAMETER_STATUS = 'S';

  /** Key for cancel requests. */
  public static final char BACKEND_KEY = 'K';

  /** ReadyForQuery: end of a request, with the transaction status. */
  public static final char READY = 'Z';

  /** ErrorResponse. */
  public static final char ERROR = 'E';

  /** NoticeResponse. */
  public static final char NOTICE = 'N';

  /** NotificationResponse, sent for LISTEN. */
  public static final char NOTIFICATION = 'A';

  /** Column descriptions of a result. */
  public static final char ROW_DESCRIPTION = 'T';

  /** One row. */
  public static final char DATA_ROW = 'D';

  /** End of one statement. */
  public static final char COMMAND_COMPLETE = 'C';

  /** Parse succeeded. */
  public static final char PARSE_COMPLETE = '1';

  /** Bind succeeded. */
  public static final char BIND_COMPLETE = '2';

  /** Close succeeded. */
  public static final char CLOSE_COMPLETE = '3';

  /** Statement returns no rows. */
  public static final char NO_DATA = 'n';

  /** Parameter types of a statement. */
  public static final char PARAMETER_DESCRIPTION = 't';

  /** Empty statement. */
  public static final char EMPTY_QUERY = 'I';

  /** A portal has more rows. */
  public static final char PORTAL_SUSPENDED = 's';

  /** No transaction is open. */
  public static final char STATUS_IDLE = 'I';

  /** A transaction is open. */
  public static final char STATUS_IN_TRANSACTION = 'T';

  /** The open transaction has failed. */
  public static final char STATUS_FAILED_TRANSACTION = 'E';

  /** Type OID of text columns. */
  public static final int TEXT_OID = 25;

  private static final int AUTHENTICATION_OK = 0;
  private static final int AUTHENTICATION_CLEARTEXT = 3;
  private static final int VARIABLE_SIZE = -1;
  private static final char FIELD_SEVERITY = 'S';
  private static final char FIELD_SEVERITY_NONLOCALIZED = 'V';
  private static final char FIELD_CODE = 'C';
  private static final char FIELD_MESSAGE = 'M';
  private static final char FIELD_DETAIL = 'D';
  private static final char FIELD_HINT = 'H';

  private Backend() {}

  /**
   * Builds the AuthenticationOk message.
   *
   * @return bytes
   */
  public static byte[] authenticationOk() {
    return WireBuilder.message(AUTHENTICATION).int32(AUTHENTICATION_OK).bytes();
  }

  /**
   * Builds the request for a cleartext password.
   *
   * @return bytes
   */
  public static byte[] authenticationCleartext() {
    return WireBuilder.message(AUTHENTICATION).int32(AUTHENTICATION_CLEARTEXT).bytes();
  }

  /**
   * Builds a message of the SASL exchange.
   *
   * @param step 10 for the mechanisms, 11 for a challenge, 12 for the final message
   * @param content mechanism names or SASL data
   * @return bytes
   */
  public static byte[] authenticationSasl(int step, byte[] content) {
    return WireBuilder.message(AUTHENTICATION).int32(step).raw(content).bytes();
  }

  /**
   * Builds a ParameterStatus message.
   *
   * @param name parameter
   * @param value value of the parameter
   * @return bytes
   */
  public static byte[] parameterStatus(String name, String value) {
    return WireBuilder.message(PARAMETER_STATUS).text(name).text(value).bytes();
  }

  /**
   * Builds a BackendKeyData message.
   *
   * @param process process id for cancel requests
   * @param secret secret key for cancel requests
   * @return bytes
   */
  public static byte[] backendKey(int process, int secret) {
    return WireBuilder.message(BACKEND_KEY).int32(process).int32(secret).bytes();
  }

  /**
   * Builds a ReadyForQuery message.
   *
   * @param status one of the STATUS constants
   * @return bytes
   */
  public static byte[] ready(char status) {
    return WireBuilder.message(READY).int8(status).bytes();
  }

  /**
   * Builds a CommandComplete message.
   *
   * @param tag command tag
   * @return bytes
   */
  public static byte[] commandComplete(String tag) {
    return WireBuilder.message(COMMAND_COMPLETE).text(tag).bytes();
  }

  /**
   * Builds a message without body.
   *
   * @param type type byte
   * @return bytes
   */
  public static byte[] empty(char type) {
    return WireBuilder.message(type).bytes();
  }

  /**
   * Builds an ErrorResponse message.
   *
   * @param severity {@code ERROR} or {@code FATAL}
   * @param sqlState five characters
   * @param message primary message
   * @param detail detail, may be empty
   * @param hint hint, may be empty
   * @return bytes
   */
  public static byte[] error(
      String severity, String sqlState, String message, String detail, String hint) {
    WireBuilder builder =
        WireBuilder.message(ERROR)
            .int8(FIELD_SEVERITY)
            .text(severity)
            .int8(FIELD_SEVERITY_NONLOCALIZED)
            .text(severity)
            .int8(FIELD_CODE)
            .text(sqlState)
            .int8(FIELD_MESSAGE)
            .text(message);
    if (!detail.isEmpty()) {
      builder.int8(FIELD_DETAIL).text(detail);
    }
    if (!hint.isEmpty()) {
      builder.int8(FIELD_HINT).text(hint);
    }
    return builder.int8(0).bytes();
  }

  /**
   * Reads the fields of an error or notice.
   *
   * @param message the message
   * @return texts by field type
   */
  public static Map<Character, String> errorFields(WireMessage message) {
    Map<Character, String> fields = new TreeMap<>();
    WireMessage.Reader body = message.body();
    byte field = body.int8();
    while (field != 0) {
      fields.put((char) field, body.text());
      field = body.int8();
    }
    return fields;
  }

  /**
   * Reads the SQLSTATE of an error.
   *
   * @param message the error
   * @return five characters
   */
  public static String sqlState(WireMessage message) {
    return errorFields(message).getOrDefault(FIELD_CODE, "");
  }

  /**
   * Reads the primary message of an error.
   *
   * @param message the error
   * @return primary message
   */
  public static String errorText(WireMessage message) {
    return errorFields(message).getOrDefault(FIELD_MESSAGE, "");
  }

  /**
   * Builds the row description of text columns.
   *
   * @param columns column names
   * @return bytes
   */
  public static byte[] textColumns(List<String> columns) {
    WireBuilder builder = WireBuilder.message(ROW_DESCRIPTION).int16(columns.size());
    for (String column : columns) {
      builder
          .text(column)
          .int32(0)
          .int16(0)
          .int32(TEXT_OID)
          .int16(VARIABLE_SIZE)
          .int32(-1)
          .int16(0);
    }
    return builder.bytes();
  }

  /**
   * Builds a data row of texts.
   *
   * @param values texts, null for SQL NULL
   * @return bytes
   */
  public static byte[] textRow(List<String> values) {
    WireBuilder builder = WireBuilder.message(DATA_ROW).int16(values.size());
    for (String value : values) {
      builder.value(value == null ? null : value.getBytes(StandardCharsets.UTF_8));
    }
    return builder.bytes();
  }

  /**
   * Reads a data row of texts.
   *
   * @param message a data row
   * @return texts, null for SQL NULL
   */
  public static List<String> readTextRow(WireMessage message) {
    WireMessage.Reader body = message.body();
    int count = body.int16();
    List<String> values = new java.util.ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      byte[] value = body.value();
      values.add(value == null ? null : new String(value, StandardCharsets.UTF_8));
    }
    return values;
  }
}
