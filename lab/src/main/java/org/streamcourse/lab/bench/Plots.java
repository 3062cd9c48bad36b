package org.streamcourse.lab.bench;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Draws the results of a benchmark as PNG files. */
final class Plots {
  private static final int WIDTH = 800;
  private static final int HEIGHT = 500;
  private static final double[] PERCENTILES = {
    1, 5, 10, 25, 50, 75, 90, 95, 98, 99, 99.5, 99.9, 99.99
  };

  private Plots() {}

  /** Draws a chart of latencies by percentile. */
  static void latencies(Path file, Histogram reads, Histogram writes) throws IOException {
    XYChart chart = chart("Latency by percentile", "percentile", "milliseconds");
    addPercentiles(chart, "reads", reads);
    addPercentiles(chart, "writes", writes);
    chart.getStyler().setYAxisLogarithmic(true);
    save(chart, file);
  }

  private static void addPercentiles(XYChart chart, String name, Histogram micros) {
    List<Double> values = new ArrayList<>();
    List<Double> percentiles = new ArrayList<>();
    for (double percentile : PERCENTILES) {
      percentiles.add(percentile);
      values.add(Math.max(1, micros.getValueAtPercentile(percentile)) / 1_000.0);
    }
    chart.addSeries(name, percentiles, values);
  }

  /** Draws the cumulative distribution of gaps at changes of primary. */
  static void gaps(Path file, List<Long> unplanned, List<Long> planned) throws IOException {
    XYChart chart = chart("Changes of primary", "milliseconds", "changes at most so long");
    addCumulative(chart, "unplanned", unplanned);
    addCumulative(chart, "planned", planned);
    save(chart, file);
  }

  private static void addCumulative(XYChart chart, String name, List<Long> gaps) {
    if (gaps.isEmpty()) {
      return;
    }
    List<Long> sorted = gaps.stream().sorted().toList();
    List<Integer> counts = new ArrayList<>();
    for (int i = 0; i < sorted.size(); i++) {
      counts.add(i + 1);
    }
    chart.addSeries(name, sorted, counts).setMarker(SeriesMarkers.CIRCLE);
  }

  private static XYChart chart(String title, String x, String y) {
    return new XYChartBuilder()
        .width(WIDTH)
        .height(HEIGHT)
        .title(title)
        .xAxisTitle(x)
        .yAxisTitle(y)
        .build();
  }

  private static void save(XYChart chart, Path file) throws IOException {
    BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
  }
}
