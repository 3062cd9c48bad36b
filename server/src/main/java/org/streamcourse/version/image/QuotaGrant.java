package org.streamcourse.version.image;

/**
 * The grant of a share of a tenant's limit to a node.
 *
 * @param tenant the tenant
 * @param holder incarnation of the node that gets the share
 * @param number number of the grant, increasing over all tenants; set when the grant is applied
 * @param operations number of operations in a limit window; 0 revokes the share
 */
public record QuotaGrant(TenantId tenant, QuotaHolder holder, long number, int operations) {}
