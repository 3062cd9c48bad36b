/**
 * Stand-in for a group of database servers. Each member speaks the PostgreSQL protocol in front of
 * an embedded H2 database and has a log synced to disk, terms, replication, fencing and promotion.
 *
 * <p>Replication is statement-based, in commit order, and carries the first generated key of each
 * INSERT. Replicas return the same rows as the primary as long as statements depend neither on the
 * clock nor on random values.
 */
package org.streamcourse.lab.member;
