package org.streamcourse.connection.frontend;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Locale;
import java.util.function.UnaryOperator;
import org.streamcourse.connection.wire.Backend;
import org.streamcourse.connection.wire.Frontend;
import org.streamcourse.connection.wire.WireBuilder;
import org.streamcourse.connection.wire.WireMessage;
import org.streamcourse.process.ErrorCode;
import org.streamcourse.process.StreamcourseException;
import org.streamcourse.request.edge.StatementClass;

/** Statements that the proxy answers without a member, in the simple and the extended protocol. */
final class LocalStatements {
  /**
   * Answer to one statement.
   *
   * @param column name of the single column, or null when no rows are returned
   * @param value value of the single row
   * @param tag command tag, empty for the empty statement
   */
  record Answer(String column, String value, String tag) {
    static Answer tag(String tag) {
      return new Answer(null, null, tag);
    }

    byte[] simple() {
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      if (column != null) {
        out.writeBytes(Backend.textColumns(List.of(column)));
        out.writeBytes(Backend.textRow(List.of(value)));
      }
      out.writeBytes(completion());
      return out.toByteArray();
    }

    private byte[] completion() {
      return tag.isEmpty() ? Backend.empty(Backend.EMPTY_QUERY) : Backend.commandComplete(tag);
    }

    /** Returns one response for each message of the caller. */
    byte[] extended(List<WireMessage> messages) {
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      for (WireMessage message : messages) {
        switch (message.type()) {
          case Frontend.PARSE -> out.writeBytes(Backend.empty(Backend.PARSE_COMPLETE));
          case Frontend.BIND -> out.writeBytes(Backend.empty(Backend.BIND_COMPLETE));
          case Frontend.CLOSE -> out.writeBytes(Backend.empty(Backend.CLOSE_COMPLETE));
          case Frontend.DESCRIBE -> describe(message, out);
          case Frontend.EXECUTE -> {
            if (column != null) {
              out.writeBytes(Backend.textRow(List.of(value)));
            }
            out.writeBytes(completion());
          }
          default -> {
            // Sync and Flush are answered by the session.
          }
        }
      }
      return out.toByteArray();
    }

    private void describe(WireMessage message, ByteArrayOutputStream out) {
      if (message.body().int8() == Frontend.STATEMENT) {
        out.writeBytes(WireBuilder.message(Backend.PARAMETER_DESCRIPTION).int16(0).bytes());
      }
      out.writeBytes(
          column == null ? Backend.empty(Backend.NO_DATA) : Backend.textColumns(List.of(column)));
    }
  }

  private LocalStatements() {}

  /** Executes a statement that needs no member; returns null when a member is needed. */
  static Answer answer(
      StatementClass statementClass,
      String sql,
      SessionParameters parameters,
      UnaryOperator<String> proxyParameter,
      char status) {
    if (status != Backend.STATUS_IDLE) {
      return null;
    }
    String keyword = sql.strip().split("[\\s;]", 2)[0].toUpperCase(Locale.ROOT);
    return switch (statementClass.kind()) {
      case EMPTY -> Answer.tag("");
      case SET -> Answer.tag(parameters.apply(sql));
      case END ->
          Answer.tag(keyword.equals("COMMIT") || keyword.equals("END") ? "COMMIT" : "ROLLBACK");
      case SHOW_OWN -> {
        String name = sql.strip().split("[\\s;]+")[1].toLowerCase(Locale.ROOT);
        yield new Answer(name, proxyParameter.apply(name), "SHOW");
      }
      default -> {
        if (keyword.equals("COPY")) {
          throw new StreamcourseException(
              ErrorCode.UNSUPPORTED, "classify", "", "COPY is not supported through the proxy");
        }
        yield null;
      }
    };
  }
}
