package damsonseam.load;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.Styler;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Plots the offered and the established calls of a load over time, for each class of callers. */
public final class LoadPlot {
    private static final double WINDOW_S = 0.5;

    private LoadPlot() {}

    /** Writes the plot as a PNG file. */
    public static void write(LoadResult result, String title, Path file) throws IOException {
        XYChart chart = new XYChartBuilder()
                .width(1_100)
                .height(520)
                .title(title)
                .xAxisTitle("seconds")
                .yAxisTitle("calls a second")
                .build();
        chart.getStyler().setLegendPosition(Styler.LegendPosition.OutsideE);
        chart.getStyler().setYAxisLogarithmic(true);
        for (int k = 0; k < result.callerClasses().size(); k++) {
            String name = result.callerClasses().get(k).name();
            List<Double> timesS = new ArrayList<>();
            List<Double> offered = new ArrayList<>();
            List<Double> established = new ArrayList<>();
            for (double t = 0; t + WINDOW_S <= result.durationS(); t += WINDOW_S) {
                timesS.add(t + WINDOW_S / 2);
                // A logarithmic axis cannot show zero.
                offered.add(Math.max(1, result.offered(k, t, t + WINDOW_S) / WINDOW_S));
                established.add(Math.max(1, result.established(k, t, t + WINDOW_S) / WINDOW_S));
            }
            if (timesS.isEmpty()) {
                throw new IOException("cannot plot a load shorter than " + WINDOW_S + " s: no complete window");
            }
            chart.addSeries(name + " offered", timesS, offered).setMarker(SeriesMarkers.NONE);
            chart.addSeries(name + " established", timesS, established).setMarker(SeriesMarkers.NONE);
        }
        BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
    }
}
