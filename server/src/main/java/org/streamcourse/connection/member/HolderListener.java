package org.streamcourse.connection.member;

/** Hears what nodes that hold connections did not bring to a member, for one unit of work. */
public interface HolderListener {
  /** Hears nothing. */
  HolderListener NONE =
      new HolderListener() {
        @Override
        public void notRun(
            String holder, long stream, boolean handedOver, String cause, boolean asksAnother) {}

        @Override
        public void lost(String holder, long stream, String cause) {}
      };

  /**
   * A holder asked the member nothing.
   *
   * @param holder name of the node
   * @param stream number of the stream there
   * @param handedOver whether the work was given to the network before
   * @param cause why
   * @param asksAnother whether the next holder is asked
   */
  void notRun(String holder, long stream, boolean handedOver, String cause, boolean asksAnother);

  /**
   * A holder may have brought the work to the member, and won't tell.
   *
   * @param holder name of the node
   * @param stream number of the stream there
   * @param cause what happened
   */
  void lost(String holder, long stream, String cause);
}
