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

/** A picture of a load: what was offered and what stood, by class of caller, over time. */
public final class LoadPlot {
    private static final double WINDOW_S = 0.5;

    private LoadPlot() {}

    /** Writes a PNG. */
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
            List<Double> at = new ArrayList<>();
            List<Double> offered = new ArrayList<>();
            List<Double> stood = new ArrayList<>();
            for (double t = 0; t + WINDOW_S <= result.durationS(); t += WINDOW_S) {
                at.add(t + WINDOW_S / 2);
                // A logarithmic axis has no zero.
                offered.add(Math.max(1, result.offered(k, t, t + WINDOW_S) / WINDOW_S));
                stood.add(Math.max(1, result.established(k, t, t + WINDOW_S) / WINDOW_S));
            }
            if (at.isEmpty()) {
                throw new IOException("a load under " + WINDOW_S + " s has nothing to draw");
            }
            chart.addSeries(name + " offered", at, offered).setMarker(SeriesMarkers.NONE);
            chart.addSeries(name + " stood", at, stood).setMarker(SeriesMarkers.NONE);
        }
        BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
    }
}
