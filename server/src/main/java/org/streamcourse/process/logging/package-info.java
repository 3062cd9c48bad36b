/** Logback configuration and the asynchronous queue for structured log lines. */
package org.streamcourse.process.logging;
