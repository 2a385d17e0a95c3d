package damsonseam.dns;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import damsonseam.core.LookupResult;
import damsonseam.core.TimerWheel;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.NAPTRRecord;
import org.xbill.DNS.Name;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.SOARecord;
import org.xbill.DNS.Section;

class ResolverTest {
    private static final String NUMBER = "59821000000001";
    private static final Name SUFFIX = E164Name.parseSuffix("e164.example.org");
    private final TimerWheel timers = new TimerWheel(0);
    private final List<Question> asked = new ArrayList<>();
    private final List<String> told = new ArrayList<>();
    private final Resolver resolver = new Resolver(
            SUFFIX,
            new LookupCache(100, 60_000),
            new AuthoritySelector(2),
            timers,
            7,
            new Resolver.Limits(4, 6, 50, 300),
            new Resolver.Output() {
                @Override
                public void sendUdp(int authority, int socket, byte[] question) {
                    asked.add(new Question(authority, socket, question));
                }

                @Override
                public void sendTcp(int authority, byte[] question) {
                    asked.add(new Question(authority, Resolver.TCP_SOCKET, question));
                }

                @Override
                public void onLookupComplete(double now, long call, LookupResult candidates) {
                    told.add(call + " " + candidates.outcome() + " " + candidates.servers());
                }
            });
    private double now;

    private record Question(int authority, int socket, byte[] octets) {
        Message message() {
            try {
                return DnsCodec.decode(octets);
            } catch (DnsFormatException e) {
                throw new AssertionError(e);
            }
        }
    }

    private void run(double until) {
        for (; now <= until; now += 1) {
            resolver.advanceClock(now);
            timers.poll(now);
            resolver.deliverKnownResults(now);
        }
    }

    private void lookUp(long call) {
        resolver.advanceClock(now);
        resolver.lookUp(call, NUMBER, now + 2_000);
    }

    private Question last() {
        return asked.get(asked.size() - 1);
    }

    private static Message reply(Question to, String... hosts) {
        Message query = to.message();
        Message reply = new Message(query.getHeader().getID());
        reply.getHeader().setFlag(Flags.QR);
        reply.getHeader().setFlag(Flags.AA);
        reply.addRecord(query.getQuestion(), Section.QUESTION);
        int preference = 10;
        for (String host : hosts) {
            reply.addRecord(
                    new NAPTRRecord(
                            query.getQuestion().getName(),
                            DClass.IN,
                            60,
                            100,
                            preference++,
                            "u",
                            "E2U+sip",
                            "!^.*$!sip:x@" + host + "!",
                            Name.root),
                    Section.ANSWER);
        }
        return reply;
    }

    private void answer(Question to, Message reply) {
        resolver.onResponse(now, to.authority(), to.socket(), reply.toWire());
    }

    @Test
    void aNumberIsFoundInTheOrderOfPreference() {
        lookUp(1);
        answer(last(), reply(last(), "b.example.org", "a.example.org"));
        assertEquals(List.of("1 FOUND [b.example.org, a.example.org]"), told);
        lookUp(2);
        run(5);
        assertEquals(2, told.size());
        assertEquals(1, asked.size());
    }

    @Test
    void callsForOneNumberShareALookUp() {
        lookUp(1);
        lookUp(2);
        assertEquals(1, asked.size());
        answer(last(), reply(last(), "a.example.org"));
        assertEquals(2, told.size());
        assertEquals(0, resolver.pendingLookups());
    }

    /** Hard case: lost answers. The next authority is asked, and a late answer of the first still counts. */
    @Test
    void silenceMovesTheQuestionAndALateAnswerStillCounts() {
        lookUp(1);
        run(250);
        assertEquals(2, asked.size());
        assertNotEquals(asked.get(0).authority(), asked.get(1).authority());
        answer(asked.get(0), reply(asked.get(0), "a.example.org"));
        assertEquals(List.of("1 FOUND [a.example.org]"), told);
    }

    /** Hard case: the answer comes after the caller's time. The look-up has failed by then, once. */
    @Test
    void aLookUpEndsByItsDeadlineWhateverTheAuthoritiesDo() {
        lookUp(1);
        run(4_000);
        assertEquals(List.of("1 UNAVAILABLE []"), told);
        assertEquals(0, resolver.pendingLookups());
        answer(asked.get(0), reply(asked.get(0), "a.example.org"));
        assertEquals(1, told.size());
        assertEquals(0, timers.size());
    }

    @Test
    void forgedAnswersAreNotBelievedAndManyMoveTheQuestionToAStream() {
        lookUp(1);
        Question first = last();
        for (int i = 1; i <= 4; i++) {
            Message forged = reply(first, "forged.example.org");
            forged.removeAllRecords(Section.QUESTION);
            forged.addRecord(org.xbill.DNS.Record.newRecord(SUFFIX, 35, DClass.IN), Section.QUESTION);
            answer(first, forged);
        }
        assertTrue(told.isEmpty());
        assertEquals(Resolver.TCP_SOCKET, last().socket());
        answer(last(), reply(last(), "a.example.org"));
        assertEquals(List.of("1 FOUND [a.example.org]"), told);
    }

    @Test
    void anAnswerMustFitSocketAuthorityIdAndTheCaseOfTheName() {
        lookUp(1);
        Question q = last();
        Message right = reply(q, "a.example.org");
        resolver.onResponse(now, 1 - q.authority(), q.socket(), right.toWire());
        resolver.onResponse(now, q.authority(), (q.socket() + 1) % 4, right.toWire());
        Message lower = reply(q, "a.example.org");
        lower.removeAllRecords(Section.QUESTION);
        lower.addRecord(
                org.xbill.DNS.Record.newRecord(E164Name.toName(NUMBER, SUFFIX), 35, DClass.IN), Section.QUESTION);
        assertFalse(
                lower.getQuestion()
                        .getName()
                        .toString()
                        .equals(q.message().getQuestion().getName().toString()),
                "the case of the letters is drawn");
        answer(q, lower);
        assertTrue(told.isEmpty());
        assertEquals(3, resolver.counts().mismatchedResponses);
        answer(q, right);
        assertEquals(1, told.size());
    }

    @Test
    void aTruncatedAnswerIsAskedForOverAStreamOfTheSameAuthority() {
        lookUp(1);
        Message cut = reply(last());
        cut.getHeader().setFlag(Flags.TC);
        answer(last(), cut);
        assertEquals(Resolver.TCP_SOCKET, last().socket());
        assertEquals(asked.get(0).authority(), last().authority());
        answer(last(), reply(last(), "a.example.org"));
        assertEquals(1, told.size());
    }

    @Test
    void aLameAuthorityIsLeftAtOnceAndAskedLast() {
        lookUp(1);
        Question first = last();
        Message lame = reply(first);
        lame.getHeader().setRcode(Rcode.REFUSED);
        answer(first, lame);
        assertEquals(2, asked.size());
        assertNotEquals(first.authority(), last().authority());
        answer(last(), reply(last(), "a.example.org"));
        for (int i = 0; i < 5; i++) {
            resolver.lookUp(10 + i, "5982100000001" + i, now + 2_000);
            assertNotEquals(first.authority(), last().authority());
        }
    }

    @Test
    void aNumberThatDoesNotExistIsRememberedAsLongAsItsZoneSays() {
        lookUp(1);
        Message none = reply(last());
        none.getHeader().setRcode(Rcode.NXDOMAIN);
        none.addRecord(new SOARecord(SUFFIX, DClass.IN, 60, SUFFIX, SUFFIX, 1, 1, 1, 1, 2), Section.AUTHORITY);
        answer(last(), none);
        lookUp(2);
        run(10);
        assertEquals(List.of("1 UNKNOWN []", "2 UNKNOWN []"), told);
        assertEquals(1, asked.size());
        run(2_100);
        lookUp(3);
        assertEquals(2, asked.size());
    }

    /** Guards calls against authorities that are all away: an old answer is better than none (RFC 8767). */
    @Test
    void anOldAnswerIsGivenWhileAuthoritiesAreSilent() {
        lookUp(1);
        answer(last(), reply(last(), "a.example.org"));
        run(61_000);
        lookUp(2);
        run(61_250);
        assertEquals(1, told.size());
        run(61_320);
        assertEquals("2 FOUND [a.example.org]", told.get(1));
    }

    @Test
    void aFailureIsNotRepeatedForEachCallOfTheNextSecond() {
        lookUp(1);
        run(2_010);
        assertEquals(List.of("1 UNAVAILABLE []"), told);
        int before = asked.size();
        lookUp(2);
        run(2_020);
        assertEquals(2, told.size());
        assertEquals(before, asked.size());
        run(3_100);
        lookUp(3);
        assertEquals(before + 1, asked.size());
    }

    @Test
    void lookUpsBeyondTheLimitFailAtOnce() {
        for (int i = 0; i < 51; i++) {
            resolver.lookUp(i, String.format("598210000%05d", i), now + 2_000);
        }
        run(5);
        assertEquals(List.of("50 UNAVAILABLE []"), told);
        assertEquals(50, resolver.pendingLookups());
    }

    @Test
    void octetsThatAreNoMessageChangeNothing() {
        lookUp(1);
        for (int length = 0; length < 60; length++) {
            byte[] garbage = new byte[length];
            java.util.Arrays.fill(garbage, (byte) 0xff);
            if (length >= 2) {
                System.arraycopy(last().octets(), 0, garbage, 0, 2);
            }
            resolver.onResponse(now, last().authority(), last().socket(), garbage);
        }
        assertTrue(told.isEmpty());
    }
}
