/** How a process writes its structured log lines. */
package org.streamcourse.process.logging;
