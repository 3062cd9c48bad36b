/**
 * A fleet of real processes under faults from outside, chosen by a seed, with checks of what
 * callers and members saw.
 */
package org.streamcourse.lab.soak;
