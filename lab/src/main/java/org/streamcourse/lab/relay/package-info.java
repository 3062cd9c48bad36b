/** A TCP relay that adds latency to connections and simulates network partitions. */
package org.streamcourse.lab.relay;
