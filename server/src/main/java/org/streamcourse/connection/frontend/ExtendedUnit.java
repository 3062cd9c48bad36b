package org.streamcourse.connection.frontend;

import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Set;
import org.streamcourse.connection.frontend.PreparedStatements.Prepared;
import org.streamcourse.connection.wire.Frontend;
import org.streamcourse.connection.wire.WireBuilder;
import org.streamcourse.connection.wire.WireMessage;
import org.streamcourse.request.edge.StatementClass;
import org.streamcourse.request.edge.StatementClassifier;

/**
 * Collects the messages of an extended-protocol request and rewrites them for a pooled connection.
 *
 * <p>Named statements exist in the session only; at the member every statement is unnamed. Before a
 * Bind or Describe of a statement other than the one parsed last, a Parse message is inserted, and
 * its ParseComplete is removed from the answer. Any connection can therefore serve any session.
 */
final class ExtendedUnit {
  private final StatementClassifier classifier;
  private final PreparedStatements statements;
  private final ByteArrayOutputStream messages = new ByteArrayOutputStream();
  private final List<WireMessage> originals = new ArrayList<>();
  private final List<StatementClass> classes = new ArrayList<>();
  private final Set<Prepared> classified = Collections.newSetFromMap(new IdentityHashMap<>());
  private final Deque<Boolean> parsesToHide = new ArrayDeque<>();
  private Prepared lastParsed;
  private String firstSql = "";

  ExtendedUnit(StatementClassifier classifier, PreparedStatements statements) {
    this.classifier = classifier;
    this.statements = statements;
  }

  boolean isEmpty() {
    return originals.isEmpty();
  }

  int size() {
    return messages.size();
  }

  byte[] messages() {
    return messages.toByteArray();
  }

  /** Returns the messages as the caller sent them. */
  List<WireMessage> originals() {
    return originals;
  }

  StatementClass statementClass() {
    return StatementClassifier.combine(classes);
  }

  /** Returns the text of the first statement that is parsed, bound or described. */
  String firstSql() {
    return firstSql;
  }

  /** Returns, for each Parse in order, whether its ParseComplete is hidden from the caller. */
  Deque<Boolean> takeParsesToHide() {
    Deque<Boolean> taken = new ArrayDeque<>(parsesToHide);
    parsesToHide.clear();
    return taken;
  }

  /** Clears the messages sent with a Flush, to collect the next part of the same request. */
  void restartAfterFlush() {
    messages.reset();
    originals.clear();
    classes.clear();
    classified.clear();
  }

  void add(WireMessage message) {
    originals.add(message);
    switch (message.type()) {
      case Frontend.PARSE -> addParse(message);
      case Frontend.BIND -> addBind(message);
      case Frontend.DESCRIBE, Frontend.CLOSE -> addDescribeOrClose(message);
      default -> messages.writeBytes(message.bytes());
    }
  }

  private void addParse(WireMessage message) {
    WireMessage.Reader body = message.body();
    String name = body.text();
    byte[] afterName = body.rest();
    String sql = new WireMessage.Reader(java.nio.ByteBuffer.wrap(afterName)).text();
    Prepared prepared = new Prepared(sql, afterName, classifier.classify(sql));
    statements.put(name, prepared);
    addClass(prepared);
    parse(prepared, false);
  }

  private void addBind(WireMessage message) {
    WireMessage.Reader body = message.body();
    String portal = body.text();
    Prepared prepared = statements.get(body.text());
    if (prepared == null) {
      forwardUnknown(message);
      return;
    }
    ensureParsed(prepared);
    byte[] rewritten =
        WireBuilder.message(Frontend.BIND).text(portal).text("").raw(body.rest()).bytes();
    messages.writeBytes(rewritten);
  }

  private void addDescribeOrClose(WireMessage message) {
    WireMessage.Reader body = message.body();
    char kind = (char) body.int8();
    String name = body.text();
    if (kind != Frontend.STATEMENT) {
      messages.writeBytes(message.bytes());
      return;
    }
    if (message.type() == Frontend.CLOSE) {
      statements.remove(name);
      lastParsed = null;
    } else if (statements.get(name) == null) {
      forwardUnknown(message);
      return;
    } else {
      ensureParsed(statements.get(name));
    }
    messages.writeBytes(
        WireBuilder.message(message.type()).int8(Frontend.STATEMENT).text("").bytes());
  }

  /** Forwards an unknown statement name, for which the member returns the proper error. */
  private void forwardUnknown(WireMessage message) {
    classes.add(StatementClass.WRITE);
    messages.writeBytes(message.bytes());
  }

  private void ensureParsed(Prepared prepared) {
    addClass(prepared);
    if (lastParsed != prepared) {
      parse(prepared, true);
    }
  }

  /** Adds a statement's class once, however many messages of the unit refer to the statement. */
  private void addClass(Prepared prepared) {
    if (classified.add(prepared)) {
      classes.add(prepared.statementClass());
    }
    if (firstSql.isEmpty()) {
      firstSql = prepared.sql();
    }
  }

  private void parse(Prepared prepared, boolean hide) {
    messages.writeBytes(
        WireBuilder.message(Frontend.PARSE).text("").raw(prepared.afterName()).bytes());
    parsesToHide.add(hide);
    lastParsed = prepared;
  }
}
