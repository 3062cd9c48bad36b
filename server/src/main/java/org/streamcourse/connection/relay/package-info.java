/**
 * Brings statements to a member through another node of the fleet that holds connections to it, for
 * nodes that hold none: a member accepts fewer connections than there are nodes.
 */
package org.streamcourse.connection.relay;
