package org.streamcourse.lab.bench;

import org.streamcourse.lab.fleet.Fleet;

/** Processor time used by the proxies of a fleet. */
final class ProxyCosts {
  private final Fleet fleet;

  ProxyCosts(Fleet fleet) {
    this.fleet = fleet;
  }

  /** Processor time of all proxies since their start. */
  long cpuNanos() {
    return fleet.proxies().stream()
        .mapToLong(
            proxy ->
                ProcessHandle.of(proxy.process().pid())
                    .flatMap(each -> each.info().totalCpuDuration())
                    .orElseThrow()
                    .toNanos())
        .sum();
  }
}
