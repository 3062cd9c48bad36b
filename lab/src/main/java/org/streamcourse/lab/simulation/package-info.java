/**
 * Deterministic simulation: runs the product's decision code on a virtual clock, with a simulated
 * network, disks and databases whose faults are drawn from a seed. The same seed gives the same
 * history.
 */
package org.streamcourse.lab.simulation;
