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

/** Guards the M3UA and ISUP codecs against malformed messages and against encoding what they cannot decode. */
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
    void m3uaDecodesWhatItEncoded(@ForAll("messages") M3uaMessage message) throws SignallingProtocolException {
        M3uaMessage decoded = M3uaMessage.decode(message.encode());
        assertEquals(message.kind(), decoded.kind());
        assertEquals(message.parameters().size(), decoded.parameters().size());
        for (int i = 0; i < decoded.parameters().size(); i++) {
            assertEquals(
                    message.parameters().get(i).tag(),
                    decoded.parameters().get(i).tag());
            assertArrayEquals(
                    message.parameters().get(i).value(),
                    decoded.parameters().get(i).value());
        }
    }

    /** Arbitrary bytes must cause no exception other than that of the codec. */
    @Property(tries = 5_000)
    void m3uaDecoderThrowsOnlyItsOwnExceptionForArbitraryBytes(@ForAll @Size(max = 80) byte[] bytes) {
        try {
            ProtocolData.from(M3uaMessage.decode(bytes));
        } catch (SignallingProtocolException e) {
            assertTrue(e.code() > 0);
        }
    }

    /** A valid header with arbitrary parameters gets further into the decoder than random bytes do. */
    @Property(tries = 5_000)
    void m3uaDecoderThrowsOnlyItsOwnExceptionForArbitraryParameters(
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
    void isupDecoderThrowsOnlyItsOwnExceptionForArbitraryBytes(
            @ForAll @Size(max = 60) byte[] bytes, @ForAll IsupMessage.Type type) {
        try {
            IsupMessage.decode(bytes);
            if (bytes.length > 2) {
                byte[] asReset = bytes.clone();
                asReset[2] = IsupMessage.of(0, IsupMessage.Type.RSC).encode()[2];
                IsupMessage.decode(asReset);
            }
        } catch (SignallingProtocolException e) {
            assertTrue(e.code() > 0);
        }
    }

    @Property(tries = 300)
    void isupDecodesWhatItEncoded(
            @ForAll @IntRange(max = 4095) int circuit,
            @ForAll @NumericChars @StringLength(min = 1, max = 20) String number,
            @ForAll @IntRange(max = 255) int category,
            @ForAll @IntRange(max = 0xffffff) int reference)
            throws SignallingProtocolException {
        IsupMessage decoded = IsupMessage.decode(IsupMessages.initialAddress(circuit, number, category, reference, 77)
                .encode());
        assertEquals(circuit, decoded.circuit());
        assertEquals(IsupMessage.Type.IAM, decoded.type());
        assertEquals(number, CalledPartyNumber.decode(decoded.parameterValue(IsupMessage.CALLED_PARTY_NUMBER)));
        assertEquals((byte) category, decoded.parameterValue(IsupMessage.CALLING_PARTYS_CATEGORY)[0]);
        assertEquals(reference, IsupMessages.callReference(decoded));
        IsupMessage redecoded = IsupMessage.decode(decoded.encode());
        assertArrayEquals(decoded.encode(), redecoded.encode());
    }

    @Property(tries = 2_000)
    void calledPartyNumberThrowsOnlyTheDecodersExceptionForArbitraryBytes(@ForAll @Size(max = 20) byte[] bytes) {
        try {
            CalledPartyNumber.decode(bytes);
        } catch (SignallingProtocolException e) {
            assertTrue(e.code() > 0);
        }
    }

    @Property(tries = 300)
    void loadReportSurvivesRoundTripAtItsResolution(
            @ForAll @IntRange(max = 200) int utilization,
            @ForAll @IntRange(max = 60_000) int queueLength,
            @ForAll @IntRange(max = 60_000) int freeLines)
            throws SignallingProtocolException {
        ServerLoadReport sent = new ServerLoadReport(
                OptionalDouble.of(freeLines),
                OptionalDouble.empty(),
                OptionalDouble.empty(),
                OptionalDouble.of(utilization / 200.0),
                OptionalDouble.of(queueLength));
        IsupMessage message = IsupMessage.decode(
                IsupMessages.release(5, IsupMessage.NORMAL_CLEARING, LoadReportParameter.encode(sent))
                        .encode());
        assertEquals(sent, LoadReportParameter.decode(message));
        assertEquals(IsupMessage.NORMAL_CLEARING, IsupMessages.cause(message));
    }

    /** An IAM written by hand from the tables of Q.763: pointers, digits and the end of optional parameters. */
    @Test
    void initialAddressMessageMatchesRecommendation() throws SignallingProtocolException {
        byte[] bytes = HexFormat.of()
                .parseHex("0100" + "01" + "00" + "2001" + "0a" + "00" + "02" + "07" + "05" + "8410951204" + "01" + "05"
                        + "0102030000" + "00");
        // Called party number of 05 octets: odd, international; E.164; digits 5 9 2 1 4 and a filler.
        IsupMessage message = IsupMessage.decode(bytes);
        assertEquals(1, message.circuit());
        assertEquals("59214", CalledPartyNumber.decode(message.parameterValue(IsupMessage.CALLED_PARTY_NUMBER)));
        assertEquals(0x010203, IsupMessages.callReference(message));
        assertArrayEquals(bytes, message.encode());
    }

    /** Found by fuzzing: a number too long for any pointer to reach past it was decoded, but then encoded wrongly. */
    @Test
    void mandatoryPartBeyondPointerRangeIsRejected() throws SignallingProtocolException {
        byte[] bytes = new byte[300];
        byte[] header = HexFormat.of().parseHex("0100" + "01" + "00" + "2001" + "0a" + "00" + "02" + "00" + "fe");
        System.arraycopy(header, 0, bytes, 0, header.length);
        assertThrows(SignallingProtocolException.class, () -> IsupMessage.decode(bytes));
        bytes[10] = (byte) 0xf0;
        assertEquals(240, IsupMessage.decode(bytes).parameterValue(IsupMessage.CALLED_PARTY_NUMBER).length);
        assertThrows(IllegalArgumentException.class, () -> IsupMessage.of(
                        1, IsupMessage.Type.REL, new IsupMessage.Parameter(IsupMessage.CAUSE_INDICATORS, new byte[255]))
                .encode());
    }

    @Test
    void impossibleLengthsAreRejectedBeforeAllocation() {
        byte[] frame = M3uaMessage.of(M3uaMessage.Kind.BEAT).encode();
        frame[4] = (byte) 0xff;
        assertThrows(SignallingProtocolException.class, () -> M3uaMessage.decode(frame));
        byte[] invalidParameterLength = {1, 0, 1, 1, 0, 0, 0, 12, 2, 0x10, (byte) 0xff, (byte) 0xff};
        SignallingProtocolException e =
                assertThrows(SignallingProtocolException.class, () -> M3uaMessage.decode(invalidParameterLength));
        assertEquals(M3uaMessage.PARAMETER_FIELD_ERROR, e.code());
    }

    @Test
    void decodingErrorsCarryTheErrorCodeOfTheSpecification() {
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
