package damsonseam;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The module does the same, to the last bit, as it did before its work was bounded: the hashes were taken from the
 * module that walked all held calls and servers at each moment. Where a decision was changed on purpose since, they
 * were taken anew: resets of set-ups that later ones outlived (the sixth, without trouble, is the first one's still).
 */
class SimulatedCallStreamTest {

    @ParameterizedTest
    @CsvSource({
        "1, 12, 0.5, 400, false, true, 30, 1f297eb265837baa 14576",
        "2, 12, 1.5, 400, false, true, 30, c41fd39fd5c59f8f 28739",
        "3, 3, 1.2, 100, false, true, 40, 6f09d4f30f5eca25 11358",
        "4, 12, 1.5, 400, true, true, 30, 252160cd9d5366d4 30172",
        "5, 40, 1.1, 900, false, true, 15, ed6129d589543c54 29992",
        "6, 12, 1.5, 800, false, false, 20, b8c806463cd3d847 38784"
    })
    void decidesAsBefore(
            long seed,
            int servers,
            double load,
            double perS,
            boolean sets,
            boolean trouble,
            double seconds,
            String expected) {
        SimulatedCallStream stream =
                new SimulatedCallStream(seed, servers, load, perS, sets, s -> a -> new CongestionControlPolicy(s, a));
        assertEquals(expected, stream.run(seconds, trouble));
        assertTrue(stream.actions > stream.offered / 2);
    }
}
