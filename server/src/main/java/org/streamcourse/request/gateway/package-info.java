/** The gateway's side of a request: admission, freshness, execution, acknowledgment by majority. */
package org.streamcourse.request.gateway;
