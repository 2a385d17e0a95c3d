package damsonseam.load;

import java.util.List;

/**
 * The arrival rate of a load over time, linear between points. Arrivals form an inhomogeneous Poisson process: the next
 * arrival is at the time at which the integral of the rate has grown by an exponential variate of mean 1, so that a
 * sudden hundredfold rise of the rate takes effect at once. Immutable.
 */
public final class RateProfile {
    private static final double MS_PER_S = 1_000;

    private final List<Point> points;

    /** A rate in calls per second at a time in seconds. */
    public record Point(double atS, double callsPerS) {}

    /** Creates a profile through points in order of time; the rate is constant before the first and after the last. */
    public RateProfile(List<Point> points) {
        if (points.isEmpty()) {
            throw new IllegalArgumentException("a rate profile needs at least one point");
        }
        for (int i = 0; i < points.size(); i++) {
            if (!(points.get(i).callsPerS() >= 0)
                    || i > 0 && points.get(i).atS() < points.get(i - 1).atS()) {
                throw new IllegalArgumentException(
                        "point " + i + " of the rate profile: expected a rate of 0 or more and a time not "
                                + "before that of the previous point");
            }
        }
        this.points = List.copyOf(points);
    }

    /** Returns a profile with the same rate at all times. */
    public static RateProfile steady(double callsPerS) {
        return new RateProfile(List.of(new Point(0, callsPerS)));
    }

    /** Returns a profile whose rate is {@code factor} times as high from {@code fromS} to {@code untilS} seconds. */
    public static RateProfile burst(double callsPerS, double factor, double fromS, double untilS) {
        return new RateProfile(List.of(
                new Point(0, callsPerS),
                new Point(fromS, callsPerS),
                new Point(fromS, factor * callsPerS),
                new Point(untilS, factor * callsPerS),
                new Point(untilS, callsPerS)));
    }

    /**
     * Returns the profile of a publication day, compressed into {@code durationS}: a morning at a third of the ordinary
     * rate, a steep rise when the list is published, a peak of {@code factor} times the ordinary rate, and a slow
     * decline.
     */
    public static RateProfile publication(double callsPerS, double factor, double durationS) {
        return new RateProfile(List.of(
                new Point(0, callsPerS / 3),
                new Point(0.2 * durationS, callsPerS / 2),
                new Point(0.25 * durationS, factor * callsPerS),
                new Point(0.4 * durationS, factor * callsPerS),
                new Point(0.55 * durationS, Math.max(1, factor / 2) * callsPerS),
                new Point(0.8 * durationS, callsPerS),
                new Point(durationS, callsPerS / 3)));
    }

    /** Returns the rate at a time, in calls per second; at a step, the rate after the step. */
    public double rateAt(double timeS) {
        Point previous = points.get(0);
        for (Point point : points) {
            if (point.atS() > timeS) {
                double segmentS = point.atS() - previous.atS();
                return segmentS <= 0
                        ? previous.callsPerS()
                        : previous.callsPerS()
                                + (point.callsPerS() - previous.callsPerS())
                                        * Math.max(0, timeS - previous.atS())
                                        / segmentS;
            }
            previous = point;
        }
        return previous.callsPerS();
    }

    /**
     * Returns the time at which the integral of the rate from {@code fromMs} on reaches {@code expectedCalls}, in
     * milliseconds; infinite if the rate stays 0.
     */
    public double nextArrivalMs(double fromMs, double expectedCalls) {
        double timeS = fromMs / MS_PER_S;
        double remainingCalls = expectedCalls;
        for (int i = 0; i <= points.size(); i++) {
            double segmentEndS = i < points.size() ? points.get(i).atS() : Double.POSITIVE_INFINITY;
            if (segmentEndS <= timeS) {
                continue;
            }
            double startPerS = rateAt(timeS);
            if (Double.isInfinite(segmentEndS)) {
                return startPerS <= 0 ? Double.POSITIVE_INFINITY : (timeS + remainingCalls / startPerS) * MS_PER_S;
            }
            // The rate at the end of the segment, before a step at that time.
            double segmentS = segmentEndS - timeS;
            double endPerS = i == 0 ? startPerS : points.get(i).callsPerS();
            double segmentCalls = (startPerS + endPerS) / 2 * segmentS;
            if (segmentCalls >= remainingCalls) {
                double slope = (endPerS - startPerS) / segmentS;
                double offsetS = Math.abs(slope) < 1e-9
                        ? remainingCalls / startPerS
                        : (-startPerS + Math.sqrt(Math.max(0, startPerS * startPerS + 2 * slope * remainingCalls)))
                                / slope;
                return (timeS + Math.min(segmentS, offsetS)) * MS_PER_S;
            }
            remainingCalls -= segmentCalls;
            timeS = segmentEndS;
        }
        return Double.POSITIVE_INFINITY;
    }
}
