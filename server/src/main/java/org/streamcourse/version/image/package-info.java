/**
 * Immutable images of the cluster's agreed state, one for each version, and the changes between
 * them.
 */
package org.streamcourse.version.image;
