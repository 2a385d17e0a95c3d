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
 * Coverage-guided fuzzing of each codec: malformed input may raise only the codec's own exception, and a decoded
 * message must survive encoding and decoding again. In CI each test runs on its seeds only; {@code bench/fuzz} lets
 * each search for one minute.
 */
class CodecFuzzTest {

    @FuzzTest(maxDuration = "1m")
    void m3ua(byte[] bytes) {
        try {
            M3uaMessage message = M3uaMessage.decode(bytes);
            M3uaMessage reread = M3uaMessage.decode(message.encode());
            if (reread.kind() != message.kind()
                    || reread.parameters().size() != message.parameters().size()) {
                throw new IllegalStateException("message differs after encoding and decoding");
            }
            isup(ProtocolData.from(message).isup());
        } catch (SignallingProtocolException e) {
            // The codec rejects the input.
        }
    }

    @FuzzTest(maxDuration = "1m")
    void isup(byte[] bytes) {
        try {
            IsupMessage message = IsupMessage.decode(bytes);
            byte[] encoded = message.encode();
            if (!Arrays.equals(encoded, IsupMessage.decode(encoded).encode())) {
                throw new IllegalStateException("message differs after encoding and decoding");
            }
            IsupMessages.cause(message);
            IsupMessages.congestionLevel(message);
            IsupMessages.callReference(message);
            LoadReportParameter.decode(message);
            if (message.parameterValue(IsupMessage.CALLED_PARTY_NUMBER) != null) {
                CalledPartyNumber.decode(message.parameterValue(IsupMessage.CALLED_PARTY_NUMBER));
            }
        } catch (SignallingProtocolException e) {
            // The codec rejects the input.
        }
    }

    @FuzzTest(maxDuration = "1m")
    void dns(byte[] bytes) {
        try {
            var message = DnsCodec.decode(bytes);
            EdnsCallOption.from(message.getOPT());
            List<Record> answers = message.getSection(Section.ANSWER);
            NaptrRules.serverHosts(
                    "59821000000001",
                    answers.stream()
                            .filter(r -> r instanceof NAPTRRecord)
                            .map(r -> (NAPTRRecord) r)
                            .toList());
        } catch (DnsFormatException e) {
            // The codec rejects the input.
        }
    }
}
