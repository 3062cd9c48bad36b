/**
 * Peer links between the processes of the fleet: Kryo messages in length-prefixed frames over TCP.
 */
package org.streamcourse.connection.peer;
