/** Sessions of callers that use a protocol other than PostgreSQL's. */
package org.streamcourse.connection.session;
