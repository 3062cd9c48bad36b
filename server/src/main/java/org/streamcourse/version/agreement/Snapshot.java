package org.streamcourse.version.agreement;

/**
 * State of the state machine after applying all entries up to an index.
 *
 * @param lastIndex index of the last applied entry
 * @param lastTerm term of that entry
 * @param voters voter set as of that index
 * @param state encoded state of the state machine
 */
public record Snapshot(long lastIndex, long lastTerm, VoterSet voters, byte[] state) {}
