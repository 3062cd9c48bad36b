/**
 * Soak test: a fleet of real processes under faults that are derived from a seed and injected from
 * outside, with checks of what callers, members and operators observe.
 */
package org.streamcourse.lab.soak;
