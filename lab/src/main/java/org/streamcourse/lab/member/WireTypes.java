package org.streamcourse.lab.member;

import java.math.BigDecimal;
import java.math.BigInteger;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Types;
import java.time.LocalDate;
import java.time.LocalDateTime;
import java.time.LocalTime;
import java.time.OffsetDateTime;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.time.format.DateTimeFormatterBuilder;
import java.time.temporal.ChronoField;
import java.time.temporal.ChronoUnit;
import java.util.HexFormat;
import java.util.UUID;

/** PostgreSQL type OIDs, and conversion of values from and to their text and binary formats. */
final class WireTypes {
  static final int BOOL = 16;
  static final int BYTEA = 17;
  static final int INT8 = 20;
  static final int INT2 = 21;
  static final int INT4 = 23;
  static final int TEXT = 25;
  static final int FLOAT4 = 700;
  static final int FLOAT8 = 701;
  static final int VARCHAR = 1043;
  static final int DATE = 1082;
  static final int TIME = 1083;
  static final int TIMESTAMP = 1114;
  static final int TIMESTAMPTZ = 1184;
  static final int NUMERIC = 1700;
  static final int UUID_OID = 2950;

  private static final LocalDate EPOCH_DATE = LocalDate.of(2000, 1, 1);
  private static final LocalDateTime EPOCH = EPOCH_DATE.atStartOfDay();
  private static final int NUMERIC_BASE = 10_000;
  private static final int NUMERIC_DIGITS = 4;
  private static final int NUMERIC_NEGATIVE = 0x4000;
  private static final DateTimeFormatter TIME_TEXT =
      new DateTimeFormatterBuilder()
          .appendPattern("HH:mm:ss")
          .appendFraction(ChronoField.MICRO_OF_SECOND, 0, 6, true)
          .toFormatter(java.util.Locale.ROOT);
  private static final DateTimeFormatter TIMESTAMP_TEXT =
      new DateTimeFormatterBuilder()
          .append(DateTimeFormatter.ISO_LOCAL_DATE)
          .appendLiteral(' ')
          .append(TIME_TEXT)
          .toFormatter(java.util.Locale.ROOT);

  private WireTypes() {}

  static int oidOf(int jdbcType) {
    return switch (jdbcType) {
      case Types.BOOLEAN, Types.BIT -> BOOL;
      case Types.TINYINT, Types.SMALLINT -> INT2;
      case Types.INTEGER -> INT4;
      case Types.BIGINT -> INT8;
      case Types.REAL -> FLOAT4;
      case Types.DOUBLE, Types.FLOAT -> FLOAT8;
      case Types.NUMERIC, Types.DECIMAL -> NUMERIC;
      case Types.DATE -> DATE;
      case Types.TIME -> TIME;
      case Types.TIMESTAMP -> TIMESTAMP;
      case Types.TIMESTAMP_WITH_TIMEZONE -> TIMESTAMPTZ;
      case Types.BINARY, Types.VARBINARY, Types.LONGVARBINARY, Types.BLOB -> BYTEA;
      case Types.VARCHAR -> VARCHAR;
      default -> TEXT;
    };
  }

  // ---- results ----

  static byte[] encode(ResultSet row, int column, int oid, boolean binary) throws SQLException {
    return binary ? encodeBinary(row, column, oid) : encodeText(row, column, oid);
  }

  private static byte[] encodeText(ResultSet row, int column, int oid) throws SQLException {
    String text =
        switch (oid) {
          case BOOL -> row.getObject(column) == null ? null : row.getBoolean(column) ? "t" : "f";
          case BYTEA -> {
            byte[] bytes = row.getBytes(column);
            yield bytes == null ? null : "\\x" + HexFormat.of().formatHex(bytes);
          }
          case NUMERIC -> {
            BigDecimal number = row.getBigDecimal(column);
            yield number == null ? null : number.toPlainString();
          }
          case TIME -> {
            LocalTime time = row.getObject(column, LocalTime.class);
            yield time == null ? null : TIME_TEXT.format(time);
          }
          case TIMESTAMP -> {
            LocalDateTime time = row.getObject(column, LocalDateTime.class);
            yield time == null ? null : TIMESTAMP_TEXT.format(time);
          }
          case TIMESTAMPTZ -> {
            OffsetDateTime time = row.getObject(column, OffsetDateTime.class);
            yield time == null
                ? null
                : TIMESTAMP_TEXT.format(time.withOffsetSameInstant(ZoneOffset.UTC)) + "+00";
          }
          default -> row.getString(column);
        };
    return text == null ? null : text.getBytes(StandardCharsets.UTF_8);
  }

  private static byte[] encodeBinary(ResultSet row, int column, int oid) throws SQLException {
    if (row.getObject(column) == null) {
      return null;
    }
    return switch (oid) {
      case BOOL -> new byte[] {(byte) (row.getBoolean(column) ? 1 : 0)};
      case INT2 -> ByteBuffer.allocate(Short.BYTES).putShort(row.getShort(column)).array();
      case INT4 -> ByteBuffer.allocate(Integer.BYTES).putInt(row.getInt(column)).array();
      case INT8 -> ByteBuffer.allocate(Long.BYTES).putLong(row.getLong(column)).array();
      case FLOAT4 -> ByteBuffer.allocate(Float.BYTES).putFloat(row.getFloat(column)).array();
      case FLOAT8 -> ByteBuffer.allocate(Double.BYTES).putDouble(row.getDouble(column)).array();
      case NUMERIC -> numeric(row.getBigDecimal(column));
      case BYTEA -> row.getBytes(column);
      case DATE -> {
        long days = ChronoUnit.DAYS.between(EPOCH_DATE, row.getObject(column, LocalDate.class));
        yield ByteBuffer.allocate(Integer.BYTES).putInt((int) days).array();
      }
      case TIME -> micros(row.getObject(column, LocalTime.class).toNanoOfDay() / 1_000);
      case TIMESTAMP -> timestamp(row.getObject(column, LocalDateTime.class));
      case TIMESTAMPTZ ->
          timestamp(
              row.getObject(column, OffsetDateTime.class)
                  .withOffsetSameInstant(ZoneOffset.UTC)
                  .toLocalDateTime());
      case UUID_OID -> uuid(row.getObject(column, UUID.class));
      default -> row.getString(column).getBytes(StandardCharsets.UTF_8);
    };
  }

  private static byte[] timestamp(LocalDateTime time) {
    return micros(ChronoUnit.MICROS.between(EPOCH, time));
  }

  private static byte[] micros(long micros) {
    return ByteBuffer.allocate(Long.BYTES).putLong(micros).array();
  }

  private static byte[] uuid(UUID uuid) {
    return ByteBuffer.allocate(2 * Long.BYTES)
        .putLong(uuid.getMostSignificantBits())
        .putLong(uuid.getLeastSignificantBits())
        .array();
  }

  /**
   * Encodes a number as base-10,000 digits with the weight of the first digit, as PostgreSQL does.
   */
  private static byte[] numeric(BigDecimal number) {
    int scale = Math.max(0, number.scale());
    int padded = (scale + NUMERIC_DIGITS - 1) / NUMERIC_DIGITS * NUMERIC_DIGITS;
    BigInteger unscaled = number.abs().setScale(padded).unscaledValue();
    java.util.ArrayDeque<Integer> digits = new java.util.ArrayDeque<>();
    BigInteger base = BigInteger.valueOf(NUMERIC_BASE);
    while (unscaled.signum() > 0) {
      BigInteger[] parts = unscaled.divideAndRemainder(base);
      digits.addFirst(parts[1].intValue());
      unscaled = parts[0];
    }
    int weight = digits.size() - 1 - padded / NUMERIC_DIGITS;
    ByteBuffer buffer = ByteBuffer.allocate((4 + digits.size()) * Short.BYTES);
    buffer.putShort((short) digits.size());
    buffer.putShort((short) weight);
    buffer.putShort((short) (number.signum() < 0 ? NUMERIC_NEGATIVE : 0));
    buffer.putShort((short) scale);
    digits.forEach(digit -> buffer.putShort(digit.shortValue()));
    return buffer.array();
  }

  // ---- parameters ----

  static Object decode(byte[] value, int oid, boolean binary) {
    if (value == null) {
      return null;
    }
    if (!binary) {
      return decodeText(new String(value, StandardCharsets.UTF_8), oid);
    }
    ByteBuffer buffer = ByteBuffer.wrap(value);
    return switch (oid) {
      case BOOL -> value[0] != 0;
      case INT2 -> (int) buffer.getShort();
      case INT4 -> buffer.getInt();
      case INT8 -> buffer.getLong();
      case FLOAT4 -> buffer.getFloat();
      case FLOAT8 -> buffer.getDouble();
      case BYTEA -> value;
      case DATE -> EPOCH_DATE.plusDays(buffer.getInt());
      case TIME -> LocalTime.ofNanoOfDay(buffer.getLong() * 1_000);
      case TIMESTAMP -> EPOCH.plus(buffer.getLong(), ChronoUnit.MICROS);
      case TIMESTAMPTZ -> EPOCH.plus(buffer.getLong(), ChronoUnit.MICROS).atOffset(ZoneOffset.UTC);
      case UUID_OID -> new UUID(buffer.getLong(), buffer.getLong()).toString();
      default -> new String(value, StandardCharsets.UTF_8);
    };
  }

  private static Object decodeText(String text, int oid) {
    return switch (oid) {
      case BOOL -> text.startsWith("t") || text.equals("1");
      case INT2, INT4 -> Integer.parseInt(text);
      case INT8 -> Long.parseLong(text);
      case FLOAT4, FLOAT8 -> Double.parseDouble(text);
      case NUMERIC -> new BigDecimal(text);
      case BYTEA -> text.startsWith("\\x") ? HexFormat.of().parseHex(text.substring(2)) : text;
      default -> text;
    };
  }
}
