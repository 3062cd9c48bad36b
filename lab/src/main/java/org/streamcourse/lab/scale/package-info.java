/** Scale runs of hollow nodes and databases against real controllers, for docs/CAPACITY.md. */
package org.streamcourse.lab.scale;
