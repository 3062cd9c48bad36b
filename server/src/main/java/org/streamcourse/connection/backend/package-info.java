/** Connections to database members, pooled within this node's allowance. */
package org.streamcourse.connection.backend;
