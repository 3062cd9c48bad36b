/** Callers that generate the users' traffic, their journal, and checks of the journal. */
package org.streamcourse.lab.workload;
