package org.streamcourse.request.routing;

import org.streamcourse.connection.member.MemberLink;
import org.streamcourse.connection.member.MemberLinks;

/** A member link that a statement uses, with the pool to which the link must be returned. */
final class BorrowedLink {
  private MemberLinks pool;
  private MemberLink link;

  void set(MemberLinks from, MemberLink granted) {
    pool = from;
    link = granted;
  }

  /** Returns the link, or null when none is in use. */
  MemberLink get() {
    return link;
  }

  /** Detaches and returns the link; the caller must release it. */
  MemberLink detach() {
    MemberLink taken = link;
    link = null;
    return taken;
  }

  /** Returns the link to its pool, rolling back a transaction that was begun on it. */
  void release() {
    pool.releaseRolledBack(detach());
  }

  /** Closes the link, because an answer on it is outstanding. */
  void close() {
    pool.drop(detach());
  }

  /** Reports to the pool that the link has ended by itself. */
  void releaseEnded() {
    pool.release(detach());
  }
}
