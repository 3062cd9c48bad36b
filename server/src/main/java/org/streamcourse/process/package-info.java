/** Process-wide components: settings, workers, error codes, storage, metrics and command line. */
package org.streamcourse.process;
