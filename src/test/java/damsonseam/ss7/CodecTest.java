package damsonseam.ss7;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonseam.RoutingPolicy.ServerLoadReport;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.OptionalDouble;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.NumericChars;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;

class CodecTest {

    @Provide
    Arbitrary<M3ua> messages() {
        Arbitrary<M3ua.Parameter> parameter = Combinators.combine(
                        Arbitraries.integers().between(0, 0xffff),
                        Arbitraries.bytes().array(byte[].class).ofMaxSize(60))
                .as(M3ua.Parameter::new);
        return Combinators.combine(
                        Arbitraries.of(M3ua.Kind.class), parameter.list().ofMaxSize(6))
                .as(M3ua::new);
    }

    @Property(tries = 500)
    void m3uaReadsWhatItWrote(@ForAll("messages") M3ua message) throws SignallingException {
        M3ua read = M3ua.decode(message.encode());
        assertEquals(message.kind(), read.kind());
        assertEquals(message.parameters().size(), read.parameters().size());
        for (int i = 0; i < read.parameters().size(); i++) {
            assertEquals(
                    message.parameters().get(i).tag(), read.parameters().get(i).tag());
            assertArrayEquals(
                    message.parameters().get(i).value(),
                    read.parameters().get(i).value());
        }
    }

    /** Nothing but the codec's own error comes out of any octets. */
    @Property(tries = 5_000)
    void m3uaBearsAnything(@ForAll @Size(max = 80) byte[] octets) {
        try {
            ProtocolData.of(M3ua.decode(octets));
        } catch (SignallingException e) {
            assertTrue(e.code() > 0);
        }
    }

    /** Whole frames with a sound header and any parameters: these get further in than random octets do. */
    @Property(tries = 5_000)
    void m3uaBearsAnythingBehindASoundHeader(
            @ForAll @Size(max = 60) byte[] body,
            @ForAll @IntRange(max = 5) int messageClass,
            @ForAll @IntRange(max = 6) int type) {
        byte[] frame = new byte[M3ua.HEADER + body.length];
        frame[0] = 1;
        frame[2] = (byte) messageClass;
        frame[3] = (byte) type;
        frame[7] = (byte) frame.length;
        System.arraycopy(body, 0, frame, M3ua.HEADER, body.length);
        try {
            ProtocolData.of(M3ua.decode(frame));
        } catch (SignallingException e) {
            assertTrue(e.code() > 0);
        }
    }

    @Property(tries = 10_000)
    void isupBearsAnything(@ForAll @Size(max = 60) byte[] octets, @ForAll Isup.Type type) {
        try {
            Isup.decode(octets);
            if (octets.length > 2) {
                byte[] typed = octets.clone();
                typed[2] = Isup.of(0, Isup.Type.RSC).encode()[2];
                Isup.decode(typed);
            }
        } catch (SignallingException e) {
            assertTrue(e.code() > 0);
        }
    }

    @Property(tries = 300)
    void isupReadsWhatItWrote(
            @ForAll @IntRange(max = 4095) int circuit,
            @ForAll @NumericChars @StringLength(min = 1, max = 20) String number,
            @ForAll @IntRange(max = 255) int category,
            @ForAll @IntRange(max = 0xffffff) int reference)
            throws SignallingException {
        Isup read = Isup.decode(
                IsupMessages.setUp(circuit, number, category, reference, 77).encode());
        assertEquals(circuit, read.circuit());
        assertEquals(Isup.Type.IAM, read.type());
        assertEquals(number, Digits.decode(read.value(Isup.CALLED_NUMBER)));
        assertEquals((byte) category, read.value(Isup.CATEGORY)[0]);
        assertEquals(reference, IsupMessages.callReference(read));
        Isup again = Isup.decode(read.encode());
        assertArrayEquals(read.encode(), again.encode());
    }

    @Property(tries = 2_000)
    void digitsBearAnything(@ForAll @Size(max = 20) byte[] octets) {
        try {
            Digits.decode(octets);
        } catch (SignallingException e) {
            assertTrue(e.code() > 0);
        }
    }

    @Property(tries = 300)
    void aReportComesThroughAsFineAsItsSteps(
            @ForAll @IntRange(max = 200) int util,
            @ForAll @IntRange(max = 60_000) int queue,
            @ForAll @IntRange(max = 60_000) int free)
            throws SignallingException {
        ServerLoadReport sent = new ServerLoadReport(
                OptionalDouble.of(free),
                OptionalDouble.empty(),
                OptionalDouble.empty(),
                OptionalDouble.of(util / 200.0),
                OptionalDouble.of(queue));
        Isup message = Isup.decode(IsupMessages.release(5, Isup.NORMAL_CLEARING, LoadReport.encode(sent))
                .encode());
        assertEquals(sent, LoadReport.decode(message));
        assertEquals(Isup.NORMAL_CLEARING, IsupMessages.cause(message));
    }

    /** A set-up written out by hand from the tables of Q.763: pointers, digits and the end octet. */
    @Test
    void aSetUpLooksAsTheRecommendationHasIt() throws SignallingException {
        byte[] octets = HexFormat.of()
                .parseHex("0100" + "01" + "00" + "2001" + "0a" + "00" + "02" + "07" + "05" + "8410951204" + "01" + "05"
                        + "0102030000" + "00");
        // 05 octets of number: odd, international; plan E.164; digits 5 9 2 1 4 (the last half octet filled).
        Isup message = Isup.decode(octets);
        assertEquals(1, message.circuit());
        assertEquals("59214", Digits.decode(message.value(Isup.CALLED_NUMBER)));
        assertEquals(0x010203, IsupMessages.callReference(message));
        assertArrayEquals(octets, message.encode());
    }

    /** Found by fuzzing: a number so long that no pointer reaches past it read well and was written wrongly. */
    @Test
    void aMandatoryPartThatNoPointerReachesPastIsRefused() throws SignallingException {
        byte[] octets = new byte[300];
        byte[] head = HexFormat.of().parseHex("0100" + "01" + "00" + "2001" + "0a" + "00" + "02" + "00" + "fe");
        System.arraycopy(head, 0, octets, 0, head.length);
        assertThrows(SignallingException.class, () -> Isup.decode(octets));
        octets[10] = (byte) 0xf0;
        assertEquals(240, Isup.decode(octets).value(Isup.CALLED_NUMBER).length);
        assertThrows(IllegalArgumentException.class, () -> Isup.of(
                        1, Isup.Type.REL, new Isup.Parameter(Isup.CAUSE, new byte[255]))
                .encode());
    }

    @Test
    void lengthsThatCannotBeAreRefusedBeforeAnyRoomIsTaken() {
        byte[] frame = M3ua.of(M3ua.Kind.BEAT).encode();
        frame[4] = (byte) 0xff;
        assertThrows(SignallingException.class, () -> M3ua.decode(frame));
        byte[] cut = {1, 0, 1, 1, 0, 0, 0, 12, 2, 0x10, (byte) 0xff, (byte) 0xff};
        SignallingException e = assertThrows(SignallingException.class, () -> M3ua.decode(cut));
        assertEquals(M3ua.PARAMETER_FIELD_ERROR, e.code());
    }

    @Test
    void errorsCarryTheCodeThatTheSpecificationAsksFor() {
        List<int[]> cases = new ArrayList<>();
        cases.add(new int[] {2, 1, 1, M3ua.INVALID_VERSION});
        cases.add(new int[] {1, 7, 1, M3ua.UNSUPPORTED_CLASS});
        cases.add(new int[] {1, 3, 9, M3ua.UNSUPPORTED_TYPE});
        for (int[] c : cases) {
            byte[] frame = {(byte) c[0], 0, (byte) c[1], (byte) c[2], 0, 0, 0, 8};
            assertEquals(
                    c[3],
                    assertThrows(SignallingException.class, () -> M3ua.decode(frame))
                            .code());
        }
    }
}
