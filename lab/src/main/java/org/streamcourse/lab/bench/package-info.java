/** Benchmarks: share of replica reads against an oracle, failover gaps, throughput and overhead. */
package org.streamcourse.lab.bench;
