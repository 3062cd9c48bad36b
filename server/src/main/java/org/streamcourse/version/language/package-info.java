/**
 * The operators' query and command language: grammar, parser, and execution on the leader. The
 * classes under {@code generated} come from {@code Admin.g4} and are committed.
 */
package org.streamcourse.version.language;
