/** The edge's side of a request: classification, choice of member, retries, floors. */
package org.streamcourse.request.edge;
