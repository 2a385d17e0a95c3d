package damsonseam.dns;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonseam.sim.SimulatedFront;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.xbill.DNS.DClass;
import org.xbill.DNS.ExtendedErrorCodeOption;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.NAPTRRecord;
import org.xbill.DNS.Name;
import org.xbill.DNS.OPTRecord;
import org.xbill.DNS.Opcode;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;
import org.xbill.DNS.Type;

/** Guards the responses of the ENUM service to valid, unsupported and malformed queries. */
class EnumServiceTest {
    private static final String NUMBER = "59821000000001";
    private final SimulatedFront front = new SimulatedFront().start("s0");

    private Message exchange(Message query) {
        front.sendBytes("desk", query.toWire());
        front.run(100);
        return front.replies.get(front.replies.size() - 1).message();
    }

    private static Message query(Name name, int type, int dclass) {
        Message query = new Message(77);
        query.addRecord(Record.newRecord(name, type, dclass), Section.QUESTION);
        return query;
    }

    private static Name name(String number) {
        return E164Name.toName(number, SimulatedFront.SUFFIX);
    }

    @Test
    void responseNamesCalculatorAndCallAndIsNotCacheable() throws Exception {
        Name mixedCase = Name.fromString("1.0.0.0.0.0.0.0.0.1.2.8.9.5.E164.eXample.ORG.");
        Message response = exchange(query(mixedCase, Type.NAPTR, DClass.IN));
        assertEquals(77, response.getHeader().getID());
        assertTrue(response.getHeader().getFlag(Flags.AA));
        assertEquals(mixedCase.toString(), response.getQuestion().getName().toString(), "case of the query name");
        NAPTRRecord rule = (NAPTRRecord) response.getSection(Section.ANSWER).get(0);
        assertEquals(0, rule.getTTL());
        assertEquals(List.of("s0"), NaptrRules.serverHosts(NUMBER, List.of(rule)));
        assertTrue(rule.getRegexp().matches("!\\^\\.\\*\\$!sip:[0-9a-f]+@s0!"), rule.getRegexp());
    }

    @Test
    void unsupportedQueriesGetTheRcodeOfTheirFault() throws Exception {
        assertEquals(
                Rcode.REFUSED,
                exchange(query(Name.fromString("1.2.example.net."), Type.NAPTR, DClass.IN))
                        .getRcode());
        assertEquals(
                Rcode.REFUSED,
                exchange(query(name(NUMBER), Type.NAPTR, DClass.CH)).getRcode());
        Message otherType = exchange(query(name(NUMBER), Type.A, DClass.IN));
        assertEquals(Rcode.NOERROR, otherType.getRcode());
        assertEquals(1, otherType.getSection(Section.AUTHORITY).size());
        assertEquals(
                Rcode.NXDOMAIN,
                exchange(query(name("44123"), Type.NAPTR, DClass.IN)).getRcode());
        Message notify = query(name(NUMBER), Type.NAPTR, DClass.IN);
        notify.getHeader().setOpcode(Opcode.NOTIFY);
        assertEquals(Rcode.NOTIMP, exchange(notify).getRcode());
        Message twoQuestions = query(name(NUMBER), Type.NAPTR, DClass.IN);
        twoQuestions.addRecord(Record.newRecord(name("598"), Type.NAPTR, DClass.IN), Section.QUESTION);
        assertEquals(Rcode.FORMERR, exchange(twoQuestions).getRcode());
        assertTrue(front.setUps(null).isEmpty());
    }

    @Test
    void refusalOutsideTheSuffixDiffersFromARefusedCall() throws Exception {
        Message query = query(Name.fromString("1.2.example.net."), Type.NAPTR, DClass.IN);
        query.addRecord(new OPTRecord(1232, 0, 0), Section.ADDITIONAL);
        ExtendedErrorCodeOption error = (ExtendedErrorCodeOption)
                exchange(query).getOPT().getOptions(15).get(0);
        assertEquals(ExtendedErrorCodeOption.NOT_AUTHORITATIVE, error.getErrorCode());
    }

    @Test
    void unknownEdnsVersionGetsBadvers() {
        Message query = query(name(NUMBER), Type.NAPTR, DClass.IN);
        query.addRecord(new OPTRecord(1232, 0, 3), Section.ADDITIONAL);
        assertEquals(Rcode.BADVERS, exchange(query).getRcode());
    }

    @Test
    void truncatedQueryGetsFormatErrorAndResponsesAreIgnored() {
        byte[] whole = query(name(NUMBER), Type.NAPTR, DClass.IN).toWire();
        byte[] incomplete = java.util.Arrays.copyOf(whole, whole.length - 9);
        front.sendBytes("desk", incomplete);
        Message response = front.replies.get(0).message();
        assertEquals(Rcode.FORMERR, response.getRcode());
        assertEquals(77, response.getHeader().getID());
        whole[2] |= (byte) 0x80;
        front.sendBytes("desk", whole);
        front.sendBytes("desk", new byte[] {1, 2, 3});
        assertEquals(1, front.replies.size());
    }

    @Test
    void timeInCallOptionShortensTheCall() {
        front.behaviours.put("s0", SimulatedFront.ServerBehaviour.SILENT);
        Message query = query(name(NUMBER), Type.NAPTR, DClass.IN);
        query.addRecord(
                new OPTRecord(1232, 0, 0, 0, List.of(new EdnsCallOption(true, 500).toOption())), Section.ADDITIONAL);
        double sentAt = front.now;
        front.sendBytes("desk", query.toWire());
        front.run(1_000);
        assertEquals(1, front.replies.size());
        assertTrue(front.replies.get(0).at() <= sentAt + 500);
    }

    @Test
    void refusalCarriesTheAdvisedWait() {
        SimulatedFront saturated = new SimulatedFront();
        saturated.maxCalls = 1;
        saturated.start("s0");
        saturated.sendQuery("a", 1, NUMBER);
        saturated.sendQuery("b", 2, "59821000000002");
        Message refused = saturated.replies.get(0).message();
        assertEquals(Rcode.REFUSED, refused.getRcode());
        assertEquals(2_000, EdnsCallOption.from(refused.getOPT()).timeMs());
        ExtendedErrorCodeOption error =
                (ExtendedErrorCodeOption) refused.getOPT().getOptions(15).get(0);
        assertEquals(EnumResponses.EDE_REFUSED, error.getErrorCode());
    }

    @Test
    void responseTooLongForUdpIsTruncated() throws Exception {
        Message query = query(name(NUMBER), Type.NAPTR, DClass.IN);
        byte[] complete = EnumResponses.negative(
                query, Rcode.NXDOMAIN, SimulatedFront.SUFFIX, DnsCodec.MAX_UDP_BYTES_WITHOUT_EDNS);
        assertFalse(DnsCodec.decode(complete).getHeader().getFlag(Flags.TC));
        byte[] truncated = EnumResponses.negative(query, Rcode.NXDOMAIN, SimulatedFront.SUFFIX, complete.length - 1);
        assertTrue(truncated.length < complete.length);
        assertTrue(DnsCodec.decode(truncated).getHeader().getFlag(Flags.TC));
    }

    /** For arbitrary bytes nothing is thrown, and every response is a valid message. */
    @Property(tries = 2_000)
    void arbitraryBytesAreHandled(@ForAll @Size(max = 100) byte[] bytes) {
        SimulatedFront shared = SHARED_FRONT;
        shared.sendBytes("fuzz", bytes);
        shared.run(1);
        shared.replies.clear();
    }

    private static final SimulatedFront SHARED_FRONT = new SimulatedFront().start("s0");

    @Test
    void retransmittedQueryGetsTheSameResponse() {
        Message query = query(name(NUMBER), Type.NAPTR, DClass.IN);
        exchange(query);
        exchange(query);
        assertEquals(2, front.replies.size());
        assertArrayEquals(front.replies.get(0).bytes(), front.replies.get(1).bytes());
        assertEquals(1, front.setUps(null).size());
        front.run(4_000);
        exchange(query);
        assertEquals(2, front.setUps(null).size(), "after the retention time the same query is a new call");
    }
}
