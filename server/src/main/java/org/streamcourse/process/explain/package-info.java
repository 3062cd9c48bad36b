/** Explains one request from the logs of all processes. */
package org.streamcourse.process.explain;
