/**
 * Relays statements to a member through a holder, another node of the fleet with connections to the
 * member, because a member accepts fewer connections than there are nodes.
 */
package org.streamcourse.connection.relay;
