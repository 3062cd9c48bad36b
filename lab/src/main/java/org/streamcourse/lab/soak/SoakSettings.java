package org.streamcourse.lab.soak;

import java.nio.file.Path;

/**
 * Size and length of a run.
 *
 * @param seed seed of the faults and of the callers' choices
 * @param seconds time within which faults begin and end
 * @param edges number of proxies
 * @param controllers number of controllers
 * @param groups number of groups, each of three members
 * @param folder folder for settings, data and logs
 */
record SoakSettings(long seed, int seconds, int edges, int controllers, int groups, Path folder) {}
