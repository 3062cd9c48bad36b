/**
 * Everything bound to the lifetime of a connection: callers' sessions, peer links and connections
 * to members.
 */
package org.streamcourse.connection;
