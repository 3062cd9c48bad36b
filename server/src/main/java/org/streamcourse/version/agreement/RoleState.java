package org.streamcourse.version.agreement;

/** State that a controller keeps only while it has a role. */
sealed interface RoleState permits FollowerState, CandidateState, LeaderState {}
