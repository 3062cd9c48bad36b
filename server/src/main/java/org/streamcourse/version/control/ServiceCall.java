package org.streamcourse.version.control;

import org.streamcourse.version.image.MemberId;
import org.streamcourse.version.image.RegisteredMember;
import org.streamcourse.version.image.RoutingDocument;

/** Calls of operators and database members to the controllers; only the leader carries them out. */
public sealed interface ServiceCall {
  /**
   * Returns the size of the document that the call contains.
   *
   * @return bytes; 0 for a call without a document
   */
  default long bytes() {
    return 0;
  }

  /**
   * Replaces the routing document. Answered with {@link Status#DONE} once this version or a higher
   * one is agreed.
   *
   * @param document new document
   */
  record ReplaceDocument(RoutingDocument document) implements ServiceCall {
    @Override
    public long bytes() {
      return document.source().length();
    }
  }

  /**
   * Reads the newest document; answered only by a leader that a majority confirms after the call
   * has arrived.
   */
  record FetchDocument() implements ServiceCall {}

  /**
   * A member's heartbeat, which also registers it.
   *
   * @param service service's name
   * @param member the member as it describes itself
   * @param primary whether the member reports that it is primary
   * @param sequence increases with each heartbeat of the member
   */
  record MemberHeartbeat(String service, RegisteredMember member, boolean primary, long sequence)
      implements ServiceCall {}

  /**
   * A member leaves its service permanently.
   *
   * @param member the member's id
   */
  record MemberLeaves(MemberId member) implements ServiceCall {}

  /** How a call ended. */
  enum Status {
    /** Carried out and agreed. */
    DONE,
    /** Refused permanently; the same call would be refused again. */
    REFUSED,
    /** Possibly not carried out; the caller should try another controller. */
    UNAVAILABLE
  }

  /**
   * Outcome of a call.
   *
   * @param status how it ended
   * @param text the document that was read, or the reason for the failure
   */
  record Result(Status status, String text) {
    /** A call that was carried out. */
    public static final Result DONE = new Result(Status.DONE, "");

    /**
     * Creates the outcome of a call that no leader could carry out.
     *
     * @param why reason for the failure
     * @return outcome
     */
    public static Result unavailable(String why) {
      return new Result(Status.UNAVAILABLE, why);
    }
  }
}
