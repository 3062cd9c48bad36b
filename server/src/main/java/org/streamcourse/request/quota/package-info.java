/**
 * Tenants' limits that hold over all nodes together: the shares of this node, the requests for
 * larger shares, and the quota servers that count operations. The design note is
 * docs/design/tenants.md.
 */
package org.streamcourse.request.quota;
