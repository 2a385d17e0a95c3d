package damsonseam;

import com.code_intelligence.jazzer.junit.FuzzTest;
import damsonseam.dns.DnsCodec;
import damsonseam.dns.DnsFormatException;
import damsonseam.dns.EdnsCallOption;
import damsonseam.dns.NaptrRules;
import damsonseam.ss7.CalledPartyNumber;
import damsonseam.ss7.IsupMessage;
import damsonseam.ss7.IsupMessages;
import damsonseam.ss7.LoadReportParameter;
import damsonseam.ss7.M3uaMessage;
import damsonseam.ss7.ProtocolData;
import damsonseam.ss7.SignallingProtocolException;
import java.util.Arrays;
import java.util.List;
import org.xbill.DNS.NAPTRRecord;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;

/**
 * Coverage-guided fuzzing of each codec: nothing but its own error may come out, and what was read reads back the
 * same. In CI each runs on its seeds only; {@code bench/fuzz} lets each search for a minute.
 */
class CodecFuzzTest {

    @FuzzTest(maxDuration = "1m")
    void m3ua(byte[] octets) {
        try {
            M3uaMessage message = M3uaMessage.decode(octets);
            M3uaMessage again = M3uaMessage.decode(message.encode());
            if (again.kind() != message.kind()
                    || again.parameters().size() != message.parameters().size()) {
                throw new IllegalStateException("reads back otherwise");
            }
            isup(ProtocolData.from(message).isup());
        } catch (SignallingProtocolException e) {
            // The codec's own word.
        }
    }

    @FuzzTest(maxDuration = "1m")
    void isup(byte[] octets) {
        try {
            IsupMessage message = IsupMessage.decode(octets);
            byte[] written = message.encode();
            if (!Arrays.equals(written, IsupMessage.decode(written).encode())) {
                throw new IllegalStateException("reads back otherwise");
            }
            IsupMessages.cause(message);
            IsupMessages.congestionLevel(message);
            IsupMessages.callReference(message);
            LoadReportParameter.decode(message);
            if (message.parameterValue(IsupMessage.CALLED_PARTY_NUMBER) != null) {
                CalledPartyNumber.decode(message.parameterValue(IsupMessage.CALLED_PARTY_NUMBER));
            }
        } catch (SignallingProtocolException e) {
            // The codec's own word.
        }
    }

    @FuzzTest(maxDuration = "1m")
    void dns(byte[] octets) {
        try {
            var message = DnsCodec.decode(octets);
            EdnsCallOption.from(message.getOPT());
            List<Record> answers = message.getSection(Section.ANSWER);
            NaptrRules.serverHosts(
                    "59821000000001",
                    answers.stream()
                            .filter(r -> r instanceof NAPTRRecord)
                            .map(r -> (NAPTRRecord) r)
                            .toList());
        } catch (DnsFormatException e) {
            // The codec's own word.
        }
    }
}
