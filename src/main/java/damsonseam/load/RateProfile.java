package damsonseam.load;

import java.util.List;

/**
 * Calls a second over time, in straight lines between points; arrivals are drawn from it as a Poisson process. The
 * next arrival is where the integral of the rate has grown by a unit exponential, so that a rate which rises a
 * hundredfold in an instant is followed in that instant.
 */
public final class RateProfile {
    private static final double S = 1_000;

    private final List<Point> points;

    /** A rate, in calls a second, at a time in seconds. */
    public record Point(double atS, double callsPerS) {}

    /** A profile through these points, in order of time; before the first and after the last the rate is theirs. */
    public RateProfile(List<Point> points) {
        if (points.isEmpty()) {
            throw new IllegalArgumentException("a profile needs one point at least");
        }
        for (int i = 0; i < points.size(); i++) {
            if (!(points.get(i).callsPerS() >= 0)
                    || i > 0 && points.get(i).atS() < points.get(i - 1).atS()) {
                throw new IllegalArgumentException("point " + i + " of the profile: expected a rate of 0 or more, not "
                        + "earlier than the one before");
            }
        }
        this.points = List.copyOf(points);
    }

    /** The same rate at all times. */
    public static RateProfile steady(double perS) {
        return new RateProfile(List.of(new Point(0, perS)));
    }

    /** A rate that is {@code factor} times as high from {@code from} to {@code until} seconds. */
    public static RateProfile burst(double perS, double factor, double from, double until) {
        return new RateProfile(List.of(
                new Point(0, perS),
                new Point(from, perS),
                new Point(from, factor * perS),
                new Point(until, factor * perS),
                new Point(until, perS)));
    }

    /**
     * A publication day in {@code seconds}: a morning at a third, the steep rise when the list is out, a peak of
     * {@code factor} times the ordinary rate, and a long way back.
     */
    public static RateProfile publication(double perS, double factor, double seconds) {
        return new RateProfile(List.of(
                new Point(0, perS / 3),
                new Point(0.2 * seconds, perS / 2),
                new Point(0.25 * seconds, factor * perS),
                new Point(0.4 * seconds, factor * perS),
                new Point(0.55 * seconds, Math.max(1, factor / 2) * perS),
                new Point(0.8 * seconds, perS),
                new Point(seconds, perS / 3)));
    }

    /** The rate at a time, in calls a second; a step counts from its instant on. */
    public double rateAt(double seconds) {
        Point before = points.get(0);
        for (Point p : points) {
            if (p.atS() > seconds) {
                double span = p.atS() - before.atS();
                return span <= 0
                        ? before.callsPerS()
                        : before.callsPerS()
                                + (p.callsPerS() - before.callsPerS()) * Math.max(0, seconds - before.atS()) / span;
            }
            before = p;
        }
        return before.callsPerS();
    }

    /**
     * The time at which the integral from {@code fromMs} on reaches {@code mass} calls, in milliseconds; infinite
     * where the rate stays 0.
     */
    public double nextArrivalMs(double fromMs, double mass) {
        double t = fromMs / S;
        double left = mass;
        for (int i = 0; i <= points.size(); i++) {
            double end = i < points.size() ? points.get(i).atS() : Double.POSITIVE_INFINITY;
            if (end <= t) {
                continue;
            }
            double a = rateAt(t);
            if (Double.isInfinite(end)) {
                return a <= 0 ? Double.POSITIVE_INFINITY : (t + left / a) * S;
            }
            // The rate at the end of the line, not behind a step that stands there.
            double span = end - t;
            double b = i == 0 ? a : points.get(i).callsPerS();
            double whole = (a + b) / 2 * span;
            if (whole >= left) {
                double slope = (b - a) / span;
                double x = Math.abs(slope) < 1e-9
                        ? left / a
                        : (-a + Math.sqrt(Math.max(0, a * a + 2 * slope * left))) / slope;
                return (t + Math.min(span, x)) * S;
            }
            left -= whole;
            t = end;
        }
        return Double.POSITIVE_INFINITY;
    }
}
