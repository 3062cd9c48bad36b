/** Statements of callers and answers of members, independent of the protocol that carries them. */
package org.streamcourse.request.statement;
