/**
 * The handling of a request: its classification, its route to a member, its limits, retries and
 * outcome.
 */
package org.streamcourse.request;
