/**
 * The controllers' replicated log, after the Raft protocol: elections, replication, snapshots and
 * voter changes. It does not depend on the commands that it replicates.
 */
package org.streamcourse.version.agreement;
