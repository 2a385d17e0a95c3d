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

/**
 * Tests the arrival process and the results of the load tool. Guards against arrivals that do not follow the rate, and
 * against delays hidden by a server that stops reading.
 */
class LoadTest {
    private static final List<LoadPlan.CallerClass> CALLER_CLASSES = List.of(
            new LoadPlan.CallerClass("low-worth", "59821", 9, 1_500, 1_000, 1, 0.25),
            new LoadPlan.CallerClass("high-worth", "59828", 1, 1_200, 1_000, 8, 0.25));

    /** The rate integrated numerically up to the next arrival must equal the expected number of calls. */
    @Property(tries = 300)
    void arrivalsFollowTheIntegralOfTheRate(
            @ForAll @DoubleRange(max = 20_000) double fromMs,
            @ForAll @DoubleRange(min = 0.01, max = 500) double expectedCalls,
            @ForAll @DoubleRange(min = 1, max = 50) double callsPerS) {
        for (RateProfile profile : List.of(
                RateProfile.steady(callsPerS),
                RateProfile.burst(callsPerS, 10, 5, 7),
                RateProfile.publication(callsPerS, 8, 20))) {
            double arrivalMs = profile.nextArrivalMs(fromMs, expectedCalls);
            assertTrue(arrivalMs > fromMs);
            double sum = 0;
            double stepMs = (arrivalMs - fromMs) / 20_000;
            for (int i = 0; i < 20_000; i++) {
                sum += profile.rateAt((fromMs + (i + 0.5) * stepMs) / 1_000) * stepMs / 1_000;
            }
            assertEquals(
                    expectedCalls, sum, 0.01 * expectedCalls + 10 * callsPerS * stepMs / 1_000, () -> "from " + fromMs);
        }
    }

    @Test
    void profileWithDecreasingTimesIsRejected() {
        assertThrows(
                IllegalArgumentException.class,
                () -> new RateProfile(List.of(new RateProfile.Point(2, 1), new RateProfile.Point(1, 1))));
        assertEquals(Double.POSITIVE_INFINITY, RateProfile.steady(0).nextArrivalMs(0, 1));
    }

    /** A server answers every query but pauses once: queries due during the pause must count from their due time. */
    @Test
    void pauseOfServerIsVisibleInAnswerDelays() throws Exception {
        try (DatagramSocket server = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            Thread thread = new Thread(() -> {
                byte[] buffer = new byte[512];
                try {
                    long pauseAtNs = System.nanoTime() + 400_000_000L;
                    boolean paused = false;
                    while (true) {
                        DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
                        server.receive(packet);
                        if (!paused && System.nanoTime() > pauseAtNs) {
                            Thread.sleep(400);
                            paused = true;
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
                    CALLER_CLASSES,
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
            assertEquals(offered, result.established(-1, 0, 2), "all calls were answered in the end");
            // The server was paused for 400 of 1,500 ms: a quarter of all calls waited for the end of the pause.
            double p90Ms = result.answerDelaysUs().getValueAtPercentile(90) / 1_000.0;
            assertTrue(p90Ms > 200, "p90 " + p90Ms + " ms");
        }
    }

    @Test
    void callsToClosedPortAreUnansweredWithoutError() throws Exception {
        int port;
        try (DatagramSocket closed = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            port = closed.getLocalPort();
        }
        LoadResult result = LoadRunner.run(new LoadPlan(
                List.of(new InetSocketAddress("127.0.0.1", port)),
                "e164.example.org",
                CALLER_CLASSES,
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
    void resultCountsWindowsInversionsAndRecovery(@TempDir Path folder) throws Exception {
        LoadResult result = new LoadResult(CALLER_CLASSES, 4);
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
                1, result.secondsWithPriorityInversion(0.05), "in the third second only high-worth calls were refused");
        assertEquals(0.3, result.recoveryTimeS(2, 0.99), 1e-9);
        LoadPlot.write(result, "test", folder.resolve("load.png"));
        assertTrue(Files.size(folder.resolve("load.png")) > 1_000);
    }
}
