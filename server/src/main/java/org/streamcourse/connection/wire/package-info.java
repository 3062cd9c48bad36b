/**
 * PostgreSQL wire protocol v3: builders and readers of messages; Netty's decoders do the framing.
 */
package org.streamcourse.connection.wire;
