package damsonseam.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class LoadTest {
    private static final List<LoadPlan.CallerClass> KINDS = List.of(
            new LoadPlan.CallerClass("cheap", "59821", 9, 1_500, 1_000, 1, 0.25),
            new LoadPlan.CallerClass("dear", "59828", 1, 1_200, 1_000, 8, 0.25));

    /** The mass between a time and the next arrival, summed in small steps, is the mass that was asked for. */
    @Property(tries = 300)
    void arrivalsFollowTheIntegralOfTheRate(
            @ForAll @DoubleRange(max = 20_000) double from,
            @ForAll @DoubleRange(min = 0.01, max = 500) double mass,
            @ForAll @DoubleRange(min = 1, max = 50) double rate) {
        for (RateProfile profile : List.of(
                RateProfile.steady(rate), RateProfile.burst(rate, 10, 5, 7), RateProfile.publication(rate, 8, 20))) {
            double until = profile.nextArrivalMs(from, mass);
            assertTrue(until > from);
            double sum = 0;
            double step = (until - from) / 20_000;
            for (int i = 0; i < 20_000; i++) {
                sum += profile.rateAt((from + (i + 0.5) * step) / 1_000) * step / 1_000;
            }
            assertEquals(mass, sum, 0.01 * mass + 10 * rate * step / 1_000, () -> "from " + from);
        }
    }

    @Test
    void aProfileThatGoesBackIsRefused() {
        assertThrows(
                IllegalArgumentException.class,
                () -> new RateProfile(List.of(new RateProfile.Point(2, 1), new RateProfile.Point(1, 1))));
        assertEquals(Double.POSITIVE_INFINITY, RateProfile.steady(0).nextArrivalMs(0, 1));
    }

    /** A responder that answers each question, but stands still once: whom it kept waiting is seen, sent or not. */
    @Test
    void aServerThatStandsStillCannotHide() throws Exception {
        try (DatagramSocket server = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            Thread thread = new Thread(() -> {
                byte[] buffer = new byte[512];
                try {
                    long stopAt = System.nanoTime() + 400_000_000L;
                    boolean stopped = false;
                    while (true) {
                        DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
                        server.receive(packet);
                        if (!stopped && System.nanoTime() > stopAt) {
                            Thread.sleep(400);
                            stopped = true;
                        }
                        buffer[2] |= (byte) 0x80;
                        buffer[7] = 1;
                        server.send(packet);
                    }
                } catch (Exception e) {
                    // The socket is closed: the test is over.
                }
            });
            thread.start();
            LoadPlan plan = new LoadPlan(
                    List.of((InetSocketAddress) server.getLocalSocketAddress()),
                    "e164.example.org",
                    KINDS,
                    RateProfile.steady(500),
                    1.5,
                    3,
                    1,
                    3,
                    100,
                    8);
            LoadResult result = LoadRunner.run(plan);
            server.close();
            thread.join();
            long offered = result.offered(-1, 0, 2);
            assertEquals(750, offered, 150);
            assertEquals(offered, result.established(-1, 0, 2), "all were answered in the end");
            // 400 ms of 1,500 stood still: a quarter of all calls had to wait for the rest of it.
            double p90 = result.answerDelaysUs().getValueAtPercentile(90) / 1_000.0;
            assertTrue(p90 > 200, "p90 " + p90 + " ms");
        }
    }

    @Test
    void nobodyListensIsUnansweredAndNoError() throws Exception {
        int port;
        try (DatagramSocket gone = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            port = gone.getLocalPort();
        }
        LoadResult result = LoadRunner.run(new LoadPlan(
                List.of(new InetSocketAddress("127.0.0.1", port)),
                "e164.example.org",
                KINDS,
                RateProfile.steady(200),
                0.5,
                3,
                2,
                1,
                100,
                8));
        assertTrue(result.offered(-1, 0, 1) > 30);
        assertEquals(result.offered(-1, 0, 1), result.count(-1, LoadResult.Outcome.UNANSWERED, 0, 1));
        assertEquals(0, result.worthShare(0, 1));
    }

    @Test
    void sumsWindowsAndInversions(@TempDir Path folder) throws Exception {
        LoadResult result = new LoadResult(KINDS, 4);
        for (int i = 0; i < 4_000; i++) {
            boolean burst = i >= 1_000 && i < 2_000;
            result.recordOutcome(0, i, burst ? LoadResult.Outcome.REFUSED : LoadResult.Outcome.IN_AIM, 3);
            result.recordOutcome(
                    1, i, i >= 2_000 && i < 2_300 ? LoadResult.Outcome.REFUSED : LoadResult.Outcome.IN_AIM, 5);
        }
        assertEquals(1_000, result.established(0, 0, 1));
        assertEquals(0, result.established(0, 1, 2));
        assertEquals(8 / 9.0, result.worthShare(1, 2), 1e-9);
        assertEquals(
                1, result.secondsWithPriorityInversion(0.05), "the third second refused dear ones and no cheap one");
        assertEquals(0.3, result.recoveryTimeS(2, 0.99), 1e-9);
        LoadPlot.write(result, "test", folder.resolve("load.png"));
        assertTrue(Files.size(folder.resolve("load.png")) > 1_000);
    }
}
