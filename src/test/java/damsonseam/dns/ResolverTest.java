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

/** Guards lookups against lost, late, forged and lame responses, and against load on authorities that fail. */
class ResolverTest {
    private static final String NUMBER = "59821000000001";
    private static final Name SUFFIX = E164Name.parseSuffix("e164.example.org");
    private final TimerWheel timers = new TimerWheel(0);
    private final List<Query> queries = new ArrayList<>();
    private final List<String> results = new ArrayList<>();
    private final Resolver resolver = new Resolver(
            SUFFIX,
            new LookupCache(100, 60_000),
            new AuthoritySelector(2),
            timers,
            7,
            new Resolver.Limits(4, 6, 50, 300),
            new Resolver.Output() {
                @Override
                public void sendUdp(int authority, int socket, byte[] query) {
                    queries.add(new Query(authority, socket, query));
                }

                @Override
                public void sendTcp(int authority, byte[] query) {
                    queries.add(new Query(authority, Resolver.TCP_SOCKET, query));
                }

                @Override
                public void onLookupComplete(double now, long call, LookupResult result) {
                    results.add(call + " " + result.outcome() + " " + result.serverIds());
                }
            });
    private double now;

    private record Query(int authority, int socket, byte[] bytes) {
        Message message() {
            try {
                return DnsCodec.decode(bytes);
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

    private void lookUp(long callId) {
        resolver.advanceClock(now);
        resolver.lookUp(callId, NUMBER, now + 2_000);
    }

    private Query lastQuery() {
        return queries.get(queries.size() - 1);
    }

    private static Message response(Query to, String... hosts) {
        Message query = to.message();
        Message response = new Message(query.getHeader().getID());
        response.getHeader().setFlag(Flags.QR);
        response.getHeader().setFlag(Flags.AA);
        response.addRecord(query.getQuestion(), Section.QUESTION);
        int preference = 10;
        for (String host : hosts) {
            response.addRecord(
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
        return response;
    }

    private void respond(Query to, Message response) {
        resolver.onResponse(now, to.authority(), to.socket(), response.toWire());
    }

    @Test
    void serversAreReturnedInOrderOfPreference() {
        lookUp(1);
        respond(lastQuery(), response(lastQuery(), "b.example.org", "a.example.org"));
        assertEquals(List.of("1 FOUND [b.example.org, a.example.org]"), results);
        lookUp(2);
        run(5);
        assertEquals(2, results.size());
        assertEquals(1, queries.size());
    }

    @Test
    void callsForTheSameNumberShareOneLookup() {
        lookUp(1);
        lookUp(2);
        assertEquals(1, queries.size());
        respond(lastQuery(), response(lastQuery(), "a.example.org"));
        assertEquals(2, results.size());
        assertEquals(0, resolver.pendingLookups());
    }

    /** Guards against a lost response: the next authority is queried, and a late first response is still used. */
    @Test
    void timeoutQueriesNextAuthorityAndLateResponseIsUsed() {
        lookUp(1);
        run(250);
        assertEquals(2, queries.size());
        assertNotEquals(queries.get(0).authority(), queries.get(1).authority());
        respond(queries.get(0), response(queries.get(0), "a.example.org"));
        assertEquals(List.of("1 FOUND [a.example.org]"), results);
    }

    /** Guards against a response after the caller's deadline: the lookup must have failed by then, exactly once. */
    @Test
    void lookupFailsAtItsDeadlineWithoutResponse() {
        lookUp(1);
        run(4_000);
        assertEquals(List.of("1 UNAVAILABLE []"), results);
        assertEquals(0, resolver.pendingLookups());
        respond(queries.get(0), response(queries.get(0), "a.example.org"));
        assertEquals(1, results.size());
        assertEquals(0, timers.size());
    }

    @Test
    void forgedResponsesAreIgnoredAndSeveralSwitchToTcp() {
        lookUp(1);
        Query firstQuery = lastQuery();
        for (int i = 1; i <= 4; i++) {
            Message forged = response(firstQuery, "forged.example.org");
            forged.removeAllRecords(Section.QUESTION);
            forged.addRecord(org.xbill.DNS.Record.newRecord(SUFFIX, 35, DClass.IN), Section.QUESTION);
            respond(firstQuery, forged);
        }
        assertTrue(results.isEmpty());
        assertEquals(Resolver.TCP_SOCKET, lastQuery().socket());
        respond(lastQuery(), response(lastQuery(), "a.example.org"));
        assertEquals(List.of("1 FOUND [a.example.org]"), results);
    }

    @Test
    void responseMustMatchSocketAuthorityIdAndCaseOfName() {
        lookUp(1);
        Query sent = lastQuery();
        Message genuine = response(sent, "a.example.org");
        resolver.onResponse(now, 1 - sent.authority(), sent.socket(), genuine.toWire());
        resolver.onResponse(now, sent.authority(), (sent.socket() + 1) % 4, genuine.toWire());
        Message lowerCase = response(sent, "a.example.org");
        lowerCase.removeAllRecords(Section.QUESTION);
        lowerCase.addRecord(
                org.xbill.DNS.Record.newRecord(E164Name.toName(NUMBER, SUFFIX), 35, DClass.IN), Section.QUESTION);
        assertFalse(
                lowerCase
                        .getQuestion()
                        .getName()
                        .toString()
                        .equals(sent.message().getQuestion().getName().toString()),
                "the case of the letters is random");
        respond(sent, lowerCase);
        assertTrue(results.isEmpty());
        assertEquals(3, resolver.counters().mismatchedResponses);
        respond(sent, genuine);
        assertEquals(1, results.size());
    }

    @Test
    void truncatedResponseIsRequestedAgainOverTcpFromTheSameAuthority() {
        lookUp(1);
        Message truncated = response(lastQuery());
        truncated.getHeader().setFlag(Flags.TC);
        respond(lastQuery(), truncated);
        assertEquals(Resolver.TCP_SOCKET, lastQuery().socket());
        assertEquals(queries.get(0).authority(), lastQuery().authority());
        respond(lastQuery(), response(lastQuery(), "a.example.org"));
        assertEquals(1, results.size());
    }

    @Test
    void lameAuthorityIsReplacedAtOnceAndQueriedLast() {
        lookUp(1);
        Query firstQuery = lastQuery();
        Message lame = response(firstQuery);
        lame.getHeader().setRcode(Rcode.REFUSED);
        respond(firstQuery, lame);
        assertEquals(2, queries.size());
        assertNotEquals(firstQuery.authority(), lastQuery().authority());
        respond(lastQuery(), response(lastQuery(), "a.example.org"));
        for (int i = 0; i < 5; i++) {
            resolver.lookUp(10 + i, "5982100000001" + i, now + 2_000);
            assertNotEquals(firstQuery.authority(), lastQuery().authority());
        }
    }

    @Test
    void nonexistentNumberIsCachedForTheTtlOfItsZone() {
        lookUp(1);
        Message nonexistent = response(lastQuery());
        nonexistent.getHeader().setRcode(Rcode.NXDOMAIN);
        nonexistent.addRecord(new SOARecord(SUFFIX, DClass.IN, 60, SUFFIX, SUFFIX, 1, 1, 1, 1, 2), Section.AUTHORITY);
        respond(lastQuery(), nonexistent);
        lookUp(2);
        run(10);
        assertEquals(List.of("1 NOT_FOUND []", "2 NOT_FOUND []"), results);
        assertEquals(1, queries.size());
        run(2_100);
        lookUp(3);
        assertEquals(2, queries.size());
    }

    /** Guards calls while no authority responds: a stale result is better than none (RFC 8767). */
    @Test
    void staleResultIsUsedWhileNoAuthorityResponds() {
        lookUp(1);
        respond(lastQuery(), response(lastQuery(), "a.example.org"));
        run(61_000);
        lookUp(2);
        run(61_250);
        assertEquals(1, results.size());
        run(61_320);
        assertEquals("2 FOUND [a.example.org]", results.get(1));
    }

    @Test
    void failedLookupIsNotRepeatedWithinASecond() {
        lookUp(1);
        run(2_010);
        assertEquals(List.of("1 UNAVAILABLE []"), results);
        int before = queries.size();
        lookUp(2);
        run(2_020);
        assertEquals(2, results.size());
        assertEquals(before, queries.size());
        run(3_100);
        lookUp(3);
        assertEquals(before + 1, queries.size());
    }

    @Test
    void lookupsBeyondTheLimitFailAtOnce() {
        for (int i = 0; i < 51; i++) {
            resolver.lookUp(i, String.format("598210000%05d", i), now + 2_000);
        }
        run(5);
        assertEquals(List.of("50 UNAVAILABLE []"), results);
        assertEquals(50, resolver.pendingLookups());
    }

    @Test
    void malformedResponsesAreIgnored() {
        lookUp(1);
        for (int length = 0; length < 60; length++) {
            byte[] garbage = new byte[length];
            java.util.Arrays.fill(garbage, (byte) 0xff);
            if (length >= 2) {
                System.arraycopy(lastQuery().bytes(), 0, garbage, 0, 2);
            }
            resolver.onResponse(now, lastQuery().authority(), lastQuery().socket(), garbage);
        }
        assertTrue(results.isEmpty());
    }
}
