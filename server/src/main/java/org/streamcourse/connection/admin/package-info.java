/** Operators' connections: the admin port speaks the PostgreSQL protocol. */
package org.streamcourse.connection.admin;
