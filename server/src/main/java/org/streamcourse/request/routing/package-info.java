/**
 * Routing of statements: the choice of a member, the log position that a read must observe, and
 * retries at other members.
 */
package org.streamcourse.request.routing;
