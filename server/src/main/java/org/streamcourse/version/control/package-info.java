/**
 * Control plane: the decisions of controllers by means of the replicated log (admission of nodes,
 * allowances, changes of primary, configuration), and the node's agent that installs the resulting
 * versions.
 */
package org.streamcourse.version.control;
