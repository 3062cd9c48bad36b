package org.streamcourse.lab.simulation;

import java.util.random.RandomGenerator;
import org.apache.commons.rng.UniformRandomProvider;

/** Adapts the simulator's random number generator to the interface that the product uses. */
final class RandomAdapter implements RandomGenerator {
  private final UniformRandomProvider provider;

  RandomAdapter(UniformRandomProvider provider) {
    this.provider = provider;
  }

  @Override
  public long nextLong() {
    return provider.nextLong();
  }
}
