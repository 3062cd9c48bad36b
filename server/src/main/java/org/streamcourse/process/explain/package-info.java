/** Explains how one request ended, from the logs of all processes. */
package org.streamcourse.process.explain;
