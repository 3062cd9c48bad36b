/** Starts whole fleets of real processes on loopback, with the users' placements and sizes. */
package org.streamcourse.lab.fleet;
