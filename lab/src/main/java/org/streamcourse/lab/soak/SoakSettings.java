package org.streamcourse.lab.soak;

import java.nio.file.Path;

/**
 * Size and length of a run.
 *
 * @param seed what its faults and callers' choices are drawn from
 * @param seconds time in which faults happen
 * @param edges proxies
 * @param controllers controllers
 * @param groups groups of three members
 * @param folder folder for settings, data and logs
 */
record SoakSettings(long seed, int seconds, int edges, int controllers, int groups, Path folder) {}
