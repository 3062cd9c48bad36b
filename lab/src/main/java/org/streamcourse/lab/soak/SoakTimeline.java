package org.streamcourse.lab.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.style.Styler;
import org.knowm.xchart.style.markers.SeriesMarkers;
import org.streamcourse.lab.workload.Journal.Acknowledged;

/** Draws a run: each fault as a line from start to end, and acknowledged writes per group. */
final class SoakTimeline {
  private static final int WIDTH = 1_400;
  private static final int HEIGHT = 900;
  private static final double MILLIS_PER_SECOND = 1_000.0;
  private static final double NANOS_PER_SECOND = 1e9;

  /** Width of the intervals in which acknowledged writes are counted. */
  private static final double BIN_SECONDS = 0.25;

  private SoakTimeline() {}

  static void draw(Path file, SoakResult result) throws IOException {
    XYChart chart =
        new XYChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title("Soak, seed " + result.settings().seed())
            .xAxisTitle("seconds")
            .yAxisTitle("faults by number; acknowledged writes per " + BIN_SECONDS + " s")
            .build();
    chart.getStyler().setLegendPosition(Styler.LegendPosition.OutsideE);
    addFaults(chart, result.events());
    addWrites(chart, result.journal().acknowledged());
    BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
  }

  private static void addFaults(XYChart chart, List<FaultEvent> events) {
    int number = 0;
    for (FaultEvent event : events) {
      number++;
      String kind = event.planned().fault().getClass().getSimpleName();
      double begin = event.beganMillis() / MILLIS_PER_SECOND;
      double end = Math.max(event.endedMillis() / MILLIS_PER_SECOND, begin + BIN_SECONDS);
      chart.addSeries(
          number + " " + kind, List.of(begin, end), List.of((double) -number, (double) -number));
    }
  }

  private static void addWrites(XYChart chart, List<Acknowledged> acknowledged) {
    long first = acknowledged.stream().mapToLong(Acknowledged::atNanos).min().orElse(0);
    Map<String, TreeMap<Long, Integer>> counts = new TreeMap<>();
    for (Acknowledged each : acknowledged) {
      long bin = (long) ((each.atNanos() - first) / NANOS_PER_SECOND / BIN_SECONDS);
      counts.computeIfAbsent(each.database(), any -> new TreeMap<>()).merge(bin, 1, Integer::sum);
    }
    counts.forEach((database, bins) -> addWrites(chart, database, bins));
  }

  private static void addWrites(XYChart chart, String database, TreeMap<Long, Integer> bins) {
    List<Double> seconds = new ArrayList<>();
    List<Integer> writes = new ArrayList<>();
    for (long bin = 0; bin <= bins.lastKey(); bin++) {
      seconds.add(bin * BIN_SECONDS);
      writes.add(bins.getOrDefault(bin, 0));
    }
    XYSeries series = chart.addSeries("writes of " + database, seconds, writes);
    series.setMarker(SeriesMarkers.NONE);
  }
}
