/** Starts complete fleets of real processes on loopback, sized as the product's users run them. */
package org.streamcourse.lab.fleet;
