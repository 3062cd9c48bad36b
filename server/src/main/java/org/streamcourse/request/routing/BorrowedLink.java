package org.streamcourse.request.routing;

import org.streamcourse.connection.member.MemberLink;
import org.streamcourse.connection.member.MemberLinks;

/** The link that a statement uses, and where it must be given back. */
final class BorrowedLink {
  private MemberLinks pool;
  private MemberLink link;

  void hold(MemberLinks from, MemberLink granted) {
    pool = from;
    link = granted;
  }

  /** The link, or null. */
  MemberLink get() {
    return link;
  }

  /** Gives the link away, to whoever releases it. */
  MemberLink take() {
    MemberLink taken = link;
    link = null;
    return taken;
  }

  /** Gives it back, rolled back where a transaction was begun on it. */
  void release() {
    pool.releaseRolledBack(take());
  }

  /** Closes it, since an answer is outstanding. */
  void drop() {
    MemberLink dropped = take();
    dropped.close();
    pool.release(dropped);
  }

  /** It has ended by itself. */
  void forget() {
    pool.release(take());
  }
}
