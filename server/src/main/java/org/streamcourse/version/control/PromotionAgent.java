package org.streamcourse.version.control;

import java.util.function.Consumer;
import org.streamcourse.version.image.MemberId;

/** External agent that makes a member primary. */
public interface PromotionAgent {
  /**
   * An order to make a member primary.
   *
   * @param service service's name
   * @param target member that is to become primary
   * @param fence number of the order; the agent refuses one lower than it has seen
   */
  record Order(String service, MemberId target, long fence) {}

  /** How an order ended. */
  enum Outcome {
    /** Accepted; the order takes effect later. */
    ACCEPTED,
    /** Refused: the target does not run, or the agent has seen a newer order. */
    REFUSED,
    /** No answer; the order may still be carried out at any later time. */
    UNANSWERED
  }

  /**
   * Sends an order.
   *
   * @param order the order
   * @param outcome receives its outcome once, on any thread
   */
  void order(Order order, Consumer<Outcome> outcome);
}
