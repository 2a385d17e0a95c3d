package damsonseam.dns;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.NumericChars;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;
import org.xbill.DNS.DClass;
import org.xbill.DNS.NAPTRRecord;
import org.xbill.DNS.Name;

/** Guards the codec against malformed messages, the NAPTR rules against hostile records, and the tables' bounds. */
class DnsCodecAndCacheTest {
    private static final Name SUFFIX = E164Name.parseSuffix("e164.example.org");

    @Property(tries = 300)
    void numberSurvivesConversionToNameAndBack(@ForAll @NumericChars @StringLength(min = 1, max = 20) String number) {
        assertEquals(number, E164Name.toNumber(E164Name.toName(number, SUFFIX), SUFFIX));
    }

    /** Arbitrary bytes must cause no exception other than that of the codec. */
    @Property(tries = 10_000)
    void decoderThrowsOnlyItsOwnExceptionForArbitraryBytes(@ForAll @Size(max = 120) byte[] bytes) {
        try {
            EdnsCallOption.from(DnsCodec.decode(bytes).getOPT());
        } catch (DnsFormatException e) {
            assertTrue(e.getMessage().startsWith("not a DNS message"));
        }
    }

    @Property(tries = 10_000)
    void decoderThrowsOnlyItsOwnExceptionForArbitraryRecords(@ForAll @Size(max = 80) byte[] body, @ForAll byte counts) {
        byte[] bytes = new byte[DnsCodec.HEADER_BYTES + body.length];
        for (int i = 0; i < 4; i++) {
            bytes[5 + 2 * i] = (byte) (counts >> 2 * i & 3);
        }
        System.arraycopy(body, 0, bytes, DnsCodec.HEADER_BYTES, body.length);
        try {
            EdnsCallOption.from(DnsCodec.decode(bytes).getOPT());
        } catch (DnsFormatException e) {
            assertNotNull(e.getCause());
        }
    }

    @Test
    void namesThatRepresentNoNumberAreRejected() throws Exception {
        for (String name : List.of("a.2", "12.3", "", "1.2.3.4.5.6.7.8.9.0.1.2.3.4.5.6.7.8.9.0.1")) {
            Name fullName = name.isEmpty() ? SUFFIX : Name.fromString(name, SUFFIX);
            assertNull(E164Name.toNumber(fullName, SUFFIX), name);
        }
        assertThrows(IllegalArgumentException.class, () -> E164Name.toName("12a", SUFFIX));
    }

    @Test
    void substitutionAppliesItsExpression() {
        assertEquals("sip:59821@h", NaptrRules.substitute("+59821", "!^\\+(.*)$!sip:\\1@h!"));
        assertEquals("X", NaptrRules.substitute("+598ab", "!AB$!X!i"));
        assertNull(NaptrRules.substitute("+598", "!^\\+44!x!"));
        assertNull(NaptrRules.substitute("+598", "!(unclosed!x!"));
        assertNull(NaptrRules.substitute("+598", "!^!\\9!"));
        assertNull(NaptrRules.substitute("+598", "!"));
    }

    /** Guards the event loop: an expression with exponential backtracking must be evaluated in linear time. */
    @Test
    void backtrackingExpressionIsEvaluatedInLinearTime() {
        String digits = "1".repeat(20);
        assertNull(NaptrRules.substitute("+" + digits, "!(1*)*(1*)*(1*)*(1*)*(1*)*(1*)*x$!y!"));
    }

    @Test
    void onlyTerminalSipRulesAreUsed() {
        Name name = E164Name.toName("598", SUFFIX);
        List<NAPTRRecord> rules = List.of(
                new NAPTRRecord(name, DClass.IN, 1, 100, 30, "u", "E2U+sip", "!^.*$!sip:c@c.org;x=1!", Name.root),
                new NAPTRRecord(name, DClass.IN, 1, 100, 20, "u", "E2U+mailto", "!^.*$!mailto:m@m.org!", Name.root),
                new NAPTRRecord(name, DClass.IN, 1, 100, 10, "u", "E2U+SIP", "!^.*$!SIP:B.org:5060!", Name.root),
                new NAPTRRecord(name, DClass.IN, 1, 50, 99, "", "E2U+sip", "", SUFFIX),
                new NAPTRRecord(name, DClass.IN, 1, 50, 99, "u", "E2U+sip", "!^.*$!sip:a@a.org!", Name.root));
        assertEquals(List.of("a.org", "b.org", "c.org"), NaptrRules.serverHosts("598", rules));
    }

    @Test
    void fullTransactionTableEvictsCompletedQueriesOnly() {
        TransactionTable table = new TransactionTable(2, 1_000);
        TransactionTable.Key first = new TransactionTable.Key("a", 1, "n");
        TransactionTable.Key second = new TransactionTable.Key("b", 1, "n");
        TransactionTable.Key third = new TransactionTable.Key("c", 1, "n");
        assertTrue(table.open(first, 0));
        assertTrue(table.open(second, 0));
        assertFalse(table.open(third, 0));
        table.complete(first, new byte[] {1}, 1);
        assertTrue(table.open(third, 2));
        assertNull(table.find(first, 2));
        table.complete(second, new byte[] {2}, 3);
        assertArrayEquals(new byte[] {2}, table.find(second, 900).response());
        assertNull(table.find(second, 1_100));
    }

    @Test
    void cacheEvictsLeastRecentlyUsedNumber() {
        LookupCache cache = new LookupCache(2, 1_000);
        var found = damsonseam.core.LookupResult.found(List.of("a"));
        cache.put("1", found, 1, 0);
        cache.put("2", found, 1, 0);
        cache.find("1", 1);
        cache.put("3", found, 1, 2);
        assertNull(cache.find("2", 3));
        assertTrue(cache.find("1", 3).isFresh());
        assertFalse(cache.find("1", 1_500).isFresh());
        assertNull(cache.find("1", 2_500));
    }
}
