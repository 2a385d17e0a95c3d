package damsonseam;

import com.code_intelligence.jazzer.junit.FuzzTest;
import damsonseam.dns.CallHints;
import damsonseam.dns.DnsCodec;
import damsonseam.dns.DnsFormatException;
import damsonseam.dns.NaptrRules;
import damsonseam.ss7.Digits;
import damsonseam.ss7.Isup;
import damsonseam.ss7.IsupMessages;
import damsonseam.ss7.LoadReport;
import damsonseam.ss7.M3ua;
import damsonseam.ss7.ProtocolData;
import damsonseam.ss7.SignallingException;
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
            M3ua message = M3ua.decode(bytes);
            M3ua reread = M3ua.decode(message.encode());
            if (reread.kind() != message.kind()
                    || reread.parameters().size() != message.parameters().size()) {
                throw new IllegalStateException("message differs after encoding and decoding");
            }
            isup(ProtocolData.of(message).isup());
        } catch (SignallingException e) {
            // The codec rejects the input.
        }
    }

    @FuzzTest(maxDuration = "1m")
    void isup(byte[] bytes) {
        try {
            Isup message = Isup.decode(bytes);
            byte[] encoded = message.encode();
            if (!Arrays.equals(encoded, Isup.decode(encoded).encode())) {
                throw new IllegalStateException("message differs after encoding and decoding");
            }
            IsupMessages.cause(message);
            IsupMessages.congestionLevel(message);
            IsupMessages.callReference(message);
            LoadReport.decode(message);
            if (message.value(Isup.CALLED_NUMBER) != null) {
                Digits.decode(message.value(Isup.CALLED_NUMBER));
            }
        } catch (SignallingException e) {
            // The codec rejects the input.
        }
    }

    @FuzzTest(maxDuration = "1m")
    void dns(byte[] bytes) {
        try {
            var message = DnsCodec.decode(bytes);
            CallHints.of(message.getOPT());
            List<Record> answers = message.getSection(Section.ANSWER);
            NaptrRules.servers(
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
