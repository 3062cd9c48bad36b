/** Connections to database members that register themselves, and the members' state. */
package org.streamcourse.connection.member;
