package damsonseam.dns;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import damsonseam.core.FinalAnswer;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.OPTRecord;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;
import org.xbill.DNS.Type;

/** Guards against a fast path that parses a query, or encodes a response, differently from dnsjava. */
class FastPathQueryTest {
    private static final Name SUFFIX = E164Name.parseSuffix("e164.example.org");
    private static final FastPathQuery.WireSuffix WIRE_SUFFIX = new FastPathQuery.WireSuffix(SUFFIX);

    private static Message query(
            int id, String number, boolean edns, int udpPayloadBytes, long timeMs, boolean redialled) {
        Message query = new Message(id);
        query.addRecord(Record.newRecord(E164Name.toName(number, SUFFIX), Type.NAPTR, DClass.IN), Section.QUESTION);
        if (edns) {
            query.addRecord(
                    timeMs < 0
                            ? new OPTRecord(udpPayloadBytes, 0, 0)
                            : new OPTRecord(
                                    udpPayloadBytes,
                                    0,
                                    0,
                                    0,
                                    List.of(new EdnsCallOption(redialled, timeMs).toOption())),
                    Section.ADDITIONAL);
        }
        return query;
    }

    @Property(tries = 500)
    void fastPathParsesAndEncodesLikeDnsjava(
            @ForAll @IntRange(max = 65_535) int id,
            @ForAll @IntRange(min = 1, max = 20) int digits,
            @ForAll long seed,
            @ForAll boolean edns,
            @ForAll @IntRange(max = 65_535) int udpPayloadBytes,
            @ForAll @LongRange(min = -1, max = 100_000) long timeMs,
            @ForAll boolean flag,
            @ForAll FinalAnswer.Kind kind)
            throws Exception {
        StringBuilder number = new StringBuilder();
        new Random(seed).ints(digits, 0, 10).forEach(number::append);
        Message query = query(id, number.toString(), edns, udpPayloadBytes, timeMs, flag);
        if (flag) {
            query.getHeader().setFlag(Flags.RD);
            query.getHeader().setFlag(Flags.CD);
        }
        byte[] wire = query.toWire();
        FastPathQuery fastPath = FastPathQuery.parse(wire, WIRE_SUFFIX);
        assertNotNull(fastPath);
        assertEquals(number.toString(), fastPath.number());
        assertEquals(id, fastPath.id());
        assertEquals(EdnsCallOption.from(query.getOPT()), fastPath.callOption());
        FinalAnswer answer = new FinalAnswer(
                kind,
                kind == FinalAnswer.Kind.STANDS ? "calc-01.example.org" : "",
                kind == FinalAnswer.Kind.REFUSED ? Math.max(0, timeMs) : 0,
                "why so");
        byte[] bytes = FastPathResponse.encode(fastPath, seed, answer, fastPath.maxResponseBytes());
        if (bytes == null) {
            assertEquals(FinalAnswer.Kind.UNKNOWN_NUMBER, kind);
        } else {
            assertArrayEquals(
                    EnumResponses.finalAnswer(DnsCodec.decode(wire), seed, answer, SUFFIX, fastPath.maxResponseBytes()),
                    bytes);
        }
    }

    /** With one byte changed, the fast path either rejects the query or parses the same as dnsjava. */
    @Property(tries = 3_000)
    void changedByteIsParsedLikeDnsjavaOrRejected(@ForAll long seed, @ForAll boolean edns) {
        Random random = new Random(seed);
        byte[] wire = query(7, "59821000000001", edns, 1232, 2_900, false).toWire();
        wire[random.nextInt(wire.length)] = (byte) random.nextInt(256);
        byte[] maybeTruncated = random.nextInt(4) == 0 ? Arrays.copyOf(wire, random.nextInt(wire.length + 1)) : wire;
        FastPathQuery fastPath = FastPathQuery.parse(maybeTruncated, WIRE_SUFFIX);
        if (fastPath == null) {
            return;
        }
        try {
            Message query = DnsCodec.decode(maybeTruncated);
            assertEquals(E164Name.toNumber(query.getQuestion().getName(), SUFFIX), fastPath.number());
            assertEquals(Type.NAPTR, query.getQuestion().getType());
            assertEquals(EdnsCallOption.from(query.getOPT()), fastPath.callOption());
            assertEquals(query.getOPT() != null, fastPath.hasEdns());
        } catch (DnsFormatException e) {
            throw new AssertionError("parsed by the fast path, but malformed", e);
        }
    }

    @Test
    void queriesOfOtherFormsAreRejected() {
        Message other = query(1, "5982", false, 0, -1, false);
        byte[] wire = other.toWire();
        assertNotNull(FastPathQuery.parse(wire, WIRE_SUFFIX));
        assertNull(FastPathQuery.parse(new byte[0], WIRE_SUFFIX));
        assertNull(FastPathQuery.parse(Arrays.copyOf(wire, wire.length + 1), WIRE_SUFFIX), "bytes after the message");
        byte[] answer = wire.clone();
        answer[2] |= (byte) 0x80;
        assertNull(FastPathQuery.parse(answer, WIRE_SUFFIX));
        Message suffixOnly = new Message(1);
        suffixOnly.addRecord(Record.newRecord(SUFFIX, Type.NAPTR, DClass.IN), Section.QUESTION);
        assertNull(FastPathQuery.parse(suffixOnly.toWire(), WIRE_SUFFIX));
        Message twoOptRecords = query(1, "5982", true, 1232, -1, false);
        twoOptRecords.addRecord(new OPTRecord(1232, 0, 0), Section.ADDITIONAL);
        assertNull(FastPathQuery.parse(twoOptRecords.toWire(), WIRE_SUFFIX));
    }

    @Test
    void caseOfSuffixIsPreservedButIgnoredInMatching() {
        byte[] wire = query(1, "5982", false, 0, -1, false).toWire();
        byte[] upperCase = wire.clone();
        upperCase[12 + 8 + 1] = 'E';
        FastPathQuery fastPath = FastPathQuery.parse(upperCase, WIRE_SUFFIX);
        assertNotNull(fastPath);
        assertEquals(FastPathQuery.parse(wire, WIRE_SUFFIX).fingerprint(5), fastPath.fingerprint(5), "the same query");
        assertNotEquals(fastPath.fingerprint(5), fastPath.fingerprint(6));
        assertEquals('E', FastPathResponse.encodeRefused(fastPath, 100, "busy", 512)[21]);
    }
}
