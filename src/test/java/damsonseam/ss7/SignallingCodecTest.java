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

class SignallingCodecTest {

    @Provide
    Arbitrary<M3uaMessage> messages() {
        Arbitrary<M3uaMessage.Parameter> parameter = Combinators.combine(
                        Arbitraries.integers().between(0, 0xffff),
                        Arbitraries.bytes().array(byte[].class).ofMaxSize(60))
                .as(M3uaMessage.Parameter::new);
        return Combinators.combine(
                        Arbitraries.of(M3uaMessage.Kind.class), parameter.list().ofMaxSize(6))
                .as(M3uaMessage::new);
    }

    @Property(tries = 500)
    void m3uaReadsWhatItWrote(@ForAll("messages") M3uaMessage message) throws SignallingProtocolException {
        M3uaMessage read = M3uaMessage.decode(message.encode());
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
            ProtocolData.from(M3uaMessage.decode(octets));
        } catch (SignallingProtocolException e) {
            assertTrue(e.code() > 0);
        }
    }

    /** Whole frames with a sound header and any parameters: these get further in than random octets do. */
    @Property(tries = 5_000)
    void m3uaBearsAnythingBehindASoundHeader(
            @ForAll @Size(max = 60) byte[] body,
            @ForAll @IntRange(max = 5) int messageClass,
            @ForAll @IntRange(max = 6) int type) {
        byte[] frame = new byte[M3uaMessage.HEADER_BYTES + body.length];
        frame[0] = 1;
        frame[2] = (byte) messageClass;
        frame[3] = (byte) type;
        frame[7] = (byte) frame.length;
        System.arraycopy(body, 0, frame, M3uaMessage.HEADER_BYTES, body.length);
        try {
            ProtocolData.from(M3uaMessage.decode(frame));
        } catch (SignallingProtocolException e) {
            assertTrue(e.code() > 0);
        }
    }

    @Property(tries = 10_000)
    void isupBearsAnything(@ForAll @Size(max = 60) byte[] octets, @ForAll IsupMessage.Type type) {
        try {
            IsupMessage.decode(octets);
            if (octets.length > 2) {
                byte[] typed = octets.clone();
                typed[2] = IsupMessage.of(0, IsupMessage.Type.RSC).encode()[2];
                IsupMessage.decode(typed);
            }
        } catch (SignallingProtocolException e) {
            assertTrue(e.code() > 0);
        }
    }

    @Property(tries = 300)
    void isupReadsWhatItWrote(
            @ForAll @IntRange(max = 4095) int circuit,
            @ForAll @NumericChars @StringLength(min = 1, max = 20) String number,
            @ForAll @IntRange(max = 255) int category,
            @ForAll @IntRange(max = 0xffffff) int reference)
            throws SignallingProtocolException {
        IsupMessage read = IsupMessage.decode(IsupMessages.initialAddress(circuit, number, category, reference, 77)
                .encode());
        assertEquals(circuit, read.circuit());
        assertEquals(IsupMessage.Type.IAM, read.type());
        assertEquals(number, CalledPartyNumber.decode(read.parameterValue(IsupMessage.CALLED_PARTY_NUMBER)));
        assertEquals((byte) category, read.parameterValue(IsupMessage.CALLING_PARTYS_CATEGORY)[0]);
        assertEquals(reference, IsupMessages.callReference(read));
        IsupMessage again = IsupMessage.decode(read.encode());
        assertArrayEquals(read.encode(), again.encode());
    }

    @Property(tries = 2_000)
    void digitsBearAnything(@ForAll @Size(max = 20) byte[] octets) {
        try {
            CalledPartyNumber.decode(octets);
        } catch (SignallingProtocolException e) {
            assertTrue(e.code() > 0);
        }
    }

    @Property(tries = 300)
    void aReportComesThroughAsFineAsItsSteps(
            @ForAll @IntRange(max = 200) int util,
            @ForAll @IntRange(max = 60_000) int queue,
            @ForAll @IntRange(max = 60_000) int free)
            throws SignallingProtocolException {
        ServerLoadReport sent = new ServerLoadReport(
                OptionalDouble.of(free),
                OptionalDouble.empty(),
                OptionalDouble.empty(),
                OptionalDouble.of(util / 200.0),
                OptionalDouble.of(queue));
        IsupMessage message = IsupMessage.decode(
                IsupMessages.release(5, IsupMessage.NORMAL_CLEARING, LoadReportParameter.encode(sent))
                        .encode());
        assertEquals(sent, LoadReportParameter.decode(message));
        assertEquals(IsupMessage.NORMAL_CLEARING, IsupMessages.cause(message));
    }

    /** A set-up written out by hand from the tables of Q.763: pointers, digits and the end octet. */
    @Test
    void aSetUpLooksAsTheRecommendationHasIt() throws SignallingProtocolException {
        byte[] octets = HexFormat.of()
                .parseHex("0100" + "01" + "00" + "2001" + "0a" + "00" + "02" + "07" + "05" + "8410951204" + "01" + "05"
                        + "0102030000" + "00");
        // 05 octets of number: odd, international; plan E.164; digits 5 9 2 1 4 (the last half octet filled).
        IsupMessage message = IsupMessage.decode(octets);
        assertEquals(1, message.circuit());
        assertEquals("59214", CalledPartyNumber.decode(message.parameterValue(IsupMessage.CALLED_PARTY_NUMBER)));
        assertEquals(0x010203, IsupMessages.callReference(message));
        assertArrayEquals(octets, message.encode());
    }

    /** Found by fuzzing: a number so long that no pointer reaches past it read well and was written wrongly. */
    @Test
    void aMandatoryPartThatNoPointerReachesPastIsRefused() throws SignallingProtocolException {
        byte[] octets = new byte[300];
        byte[] head = HexFormat.of().parseHex("0100" + "01" + "00" + "2001" + "0a" + "00" + "02" + "00" + "fe");
        System.arraycopy(head, 0, octets, 0, head.length);
        assertThrows(SignallingProtocolException.class, () -> IsupMessage.decode(octets));
        octets[10] = (byte) 0xf0;
        assertEquals(240, IsupMessage.decode(octets).parameterValue(IsupMessage.CALLED_PARTY_NUMBER).length);
        assertThrows(IllegalArgumentException.class, () -> IsupMessage.of(
                        1, IsupMessage.Type.REL, new IsupMessage.Parameter(IsupMessage.CAUSE_INDICATORS, new byte[255]))
                .encode());
    }

    @Test
    void lengthsThatCannotBeAreRefusedBeforeAnyRoomIsTaken() {
        byte[] frame = M3uaMessage.of(M3uaMessage.Kind.BEAT).encode();
        frame[4] = (byte) 0xff;
        assertThrows(SignallingProtocolException.class, () -> M3uaMessage.decode(frame));
        byte[] cut = {1, 0, 1, 1, 0, 0, 0, 12, 2, 0x10, (byte) 0xff, (byte) 0xff};
        SignallingProtocolException e = assertThrows(SignallingProtocolException.class, () -> M3uaMessage.decode(cut));
        assertEquals(M3uaMessage.PARAMETER_FIELD_ERROR, e.code());
    }

    @Test
    void errorsCarryTheCodeThatTheSpecificationAsksFor() {
        List<int[]> cases = new ArrayList<>();
        cases.add(new int[] {2, 1, 1, M3uaMessage.INVALID_VERSION});
        cases.add(new int[] {1, 7, 1, M3uaMessage.UNSUPPORTED_MESSAGE_CLASS});
        cases.add(new int[] {1, 3, 9, M3uaMessage.UNSUPPORTED_MESSAGE_TYPE});
        for (int[] c : cases) {
            byte[] frame = {(byte) c[0], 0, (byte) c[1], (byte) c[2], 0, 0, 0, 8};
            assertEquals(
                    c[3],
                    assertThrows(SignallingProtocolException.class, () -> M3uaMessage.decode(frame))
                            .code());
        }
    }
}
