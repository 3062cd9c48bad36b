package org.streamcourse.connection.member;

/** Is notified of failures at holders while one unit of work is relayed to a member. */
public interface HolderListener {
  /** Ignores all failures. */
  HolderListener NONE =
      new HolderListener() {
        @Override
        public void notRun(
            String holder, long stream, boolean handedOver, String cause, boolean asksAnother) {}

        @Override
        public void lost(String holder, long stream, String cause) {}
      };

  /**
   * Called when a holder did not run the work, so the member has not seen it.
   *
   * @param holder name of the holder
   * @param stream number of the stream at the holder
   * @param handedOver whether the work was sent to the holder
   * @param cause why the work was not run
   * @param asksAnother whether the work goes to the next holder
   */
  void notRun(String holder, long stream, boolean handedOver, String cause, boolean asksAnother);

  /**
   * Called when the outcome at a holder is unknown: the member may or may not have run the work.
   *
   * @param holder name of the holder
   * @param stream number of the stream at the holder
   * @param cause why no answer arrives
   */
  void lost(String holder, long stream, String cause);
}
