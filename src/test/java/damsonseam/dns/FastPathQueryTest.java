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

/** The short way of reading and writing says exactly what the long way through dnsjava says. */
class FastPathQueryTest {
    private static final Name SUFFIX = E164Name.parseSuffix("e164.example.org");
    private static final FastPathQuery.WireSuffix PLAIN = new FastPathQuery.WireSuffix(SUFFIX);

    private static Message question(int id, String number, boolean edns, int payload, long time, boolean again) {
        Message query = new Message(id);
        query.addRecord(Record.newRecord(E164Name.toName(number, SUFFIX), Type.NAPTR, DClass.IN), Section.QUESTION);
        if (edns) {
            query.addRecord(
                    time < 0
                            ? new OPTRecord(payload, 0, 0)
                            : new OPTRecord(payload, 0, 0, 0, List.of(new EdnsCallOption(again, time).toOption())),
                    Section.ADDITIONAL);
        }
        return query;
    }

    @Property(tries = 500)
    void readsAndWritesAsDnsjavaDoes(
            @ForAll @IntRange(max = 65_535) int id,
            @ForAll @IntRange(min = 1, max = 20) int digits,
            @ForAll long seed,
            @ForAll boolean edns,
            @ForAll @IntRange(max = 65_535) int payload,
            @ForAll @LongRange(min = -1, max = 100_000) long time,
            @ForAll boolean flag,
            @ForAll FinalAnswer.Kind kind)
            throws Exception {
        StringBuilder number = new StringBuilder();
        new Random(seed).ints(digits, 0, 10).forEach(number::append);
        Message query = question(id, number.toString(), edns, payload, time, flag);
        if (flag) {
            query.getHeader().setFlag(Flags.RD);
            query.getHeader().setFlag(Flags.CD);
        }
        byte[] wire = query.toWire();
        FastPathQuery plain = FastPathQuery.parse(wire, PLAIN);
        assertNotNull(plain);
        assertEquals(number.toString(), plain.number());
        assertEquals(id, plain.id());
        assertEquals(EdnsCallOption.from(query.getOPT()), plain.callOption());
        FinalAnswer answer = new FinalAnswer(
                kind,
                kind == FinalAnswer.Kind.STANDS ? "calc-01.example.org" : "",
                kind == FinalAnswer.Kind.REFUSED ? Math.max(0, time) : 0,
                "why so");
        byte[] octets = FastPathResponse.encode(plain, seed, answer, plain.maxResponseBytes());
        if (octets == null) {
            assertEquals(FinalAnswer.Kind.UNKNOWN_NUMBER, kind);
        } else {
            assertArrayEquals(
                    EnumResponses.finalAnswer(DnsCodec.decode(wire), seed, answer, SUFFIX, plain.maxResponseBytes()),
                    octets);
        }
    }

    /** One octet changed: either it is not read the short way, or both ways read the same question. */
    @Property(tries = 3_000)
    void anOctetChangedIsReadAlikeOrNotAtAll(@ForAll long seed, @ForAll boolean edns) {
        Random random = new Random(seed);
        byte[] wire = question(7, "59821000000001", edns, 1232, 2_900, false).toWire();
        wire[random.nextInt(wire.length)] = (byte) random.nextInt(256);
        byte[] cut = random.nextInt(4) == 0 ? Arrays.copyOf(wire, random.nextInt(wire.length + 1)) : wire;
        FastPathQuery plain = FastPathQuery.parse(cut, PLAIN);
        if (plain == null) {
            return;
        }
        try {
            Message query = DnsCodec.decode(cut);
            assertEquals(E164Name.toNumber(query.getQuestion().getName(), SUFFIX), plain.number());
            assertEquals(Type.NAPTR, query.getQuestion().getType());
            assertEquals(EdnsCallOption.from(query.getOPT()), plain.callOption());
            assertEquals(query.getOPT() != null, plain.hasEdns());
        } catch (DnsFormatException e) {
            throw new AssertionError("read the short way, but no message", e);
        }
    }

    @Test
    void whatIsNotPlainGoesTheLongWay() {
        Message other = question(1, "5982", false, 0, -1, false);
        byte[] wire = other.toWire();
        assertNotNull(FastPathQuery.parse(wire, PLAIN));
        assertNull(FastPathQuery.parse(new byte[0], PLAIN));
        assertNull(FastPathQuery.parse(Arrays.copyOf(wire, wire.length + 1), PLAIN), "octets behind the message");
        byte[] answer = wire.clone();
        answer[2] |= (byte) 0x80;
        assertNull(FastPathQuery.parse(answer, PLAIN));
        Message any = new Message(1);
        any.addRecord(Record.newRecord(SUFFIX, Type.NAPTR, DClass.IN), Section.QUESTION);
        assertNull(FastPathQuery.parse(any.toWire(), PLAIN));
        Message two = question(1, "5982", true, 1232, -1, false);
        two.addRecord(new OPTRecord(1232, 0, 0), Section.ADDITIONAL);
        assertNull(FastPathQuery.parse(two.toWire(), PLAIN));
    }

    @Test
    void theCaseOfTheSuffixIsKeptAndDoesNotMatter() {
        byte[] wire = question(1, "5982", false, 0, -1, false).toWire();
        byte[] upper = wire.clone();
        upper[12 + 8 + 1] = 'E';
        FastPathQuery plain = FastPathQuery.parse(upper, PLAIN);
        assertNotNull(plain);
        assertEquals(FastPathQuery.parse(wire, PLAIN).fingerprint(5), plain.fingerprint(5), "the same question");
        assertNotEquals(plain.fingerprint(5), plain.fingerprint(6));
        assertEquals('E', FastPathResponse.encodeRefused(plain, 100, "busy", 512)[21]);
    }
}
