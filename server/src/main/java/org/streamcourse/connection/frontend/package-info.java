/** Callers' connections: startup, authentication, sessions and their prepared statements. */
package org.streamcourse.connection.frontend;
