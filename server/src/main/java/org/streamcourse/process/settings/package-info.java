/** Settings files: fields with units, defaults and valid ranges, and the parser. */
package org.streamcourse.process.settings;
