/** Bodies of HTTP requests. */
package org.streamcourse.connection.http;
