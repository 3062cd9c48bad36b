/** Stand-in databases, experiments and the simulator. Not part of the server's jar. */
package org.streamcourse.lab;
