package damsonseam.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import damsonseam.config.Endpoint;
import damsonseam.config.SettingsException;
import damsonseam.dns.DnsCodec;
import damsonseam.dns.DnsFormatException;
import damsonseam.dns.E164Name;
import damsonseam.dns.EdnsCallOption;
import damsonseam.dns.EnumResponses;
import damsonseam.dns.NaptrRules;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.PortUnreachableException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.security.SecureRandom;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import org.xbill.DNS.DClass;
import org.xbill.DNS.ExtendedErrorCodeOption;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.NAPTRRecord;
import org.xbill.DNS.Name;
import org.xbill.DNS.OPTRecord;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;
import org.xbill.DNS.Type;
import picocli.CommandLine.Command;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.TypeConversionException;

/** Queries a front or an authority for a number, as a caller does. */
@Command(
        name = "lookup",
        mixinStandardHelpOptions = true,
        description = {
            "Queries an ENUM server for a number and prints the answer as one JSON line.",
            "At a front the query is a call: the call it sets up stays established until it is released.",
            "Exits with 0 if the answer names a server, otherwise with 1."
        })
final class LookupCommand implements Callable<Integer> {
    private static final int MAX_DATAGRAM_BYTES = 4096;

    @Parameters(paramLabel = "NUMBER", description = "Digits, with or without a leading +.")
    private String number;

    @Option(
            names = "--server",
            required = true,
            paramLabel = "HOST:PORT",
            converter = EndpointConverter.class,
            description = "Front or authority to query.")
    private Endpoint server;

    @Option(
            names = "--suffix",
            defaultValue = "e164.example.org",
            paramLabel = "DOMAIN",
            description = "Domain of the numbers (default: ${DEFAULT-VALUE}).")
    private String suffix;

    @Option(
            names = "--timeout",
            defaultValue = "3",
            paramLabel = "SECONDS",
            description = "Time to wait for the answer (default: ${DEFAULT-VALUE}).")
    private double timeout;

    @Option(names = "--tcp", description = "Use TCP.")
    private boolean tcp;

    /** Converts HOST:PORT option values. */
    static final class EndpointConverter implements ITypeConverter<Endpoint> {
        @Override
        public Endpoint convert(String value) {
            try {
                return Endpoint.parse(value);
            } catch (IllegalArgumentException e) {
                throw new TypeConversionException(e.getMessage());
            }
        }
    }

    @Override
    public Integer call() throws IOException, DnsFormatException, SettingsException {
        OptionChecks.checkRange("--timeout", timeout, 0.01, 3_600);
        Message query = new Message(new SecureRandom().nextInt(1 << 16));
        try {
            Name name = E164Name.toName(
                    number.startsWith("+") ? number.substring(1) : number, E164Name.parseSuffix(suffix));
            query.addRecord(Record.newRecord(name, Type.NAPTR, DClass.IN), Section.QUESTION);
        } catch (IllegalArgumentException e) {
            System.err.println("damsonseam: " + e.getMessage());
            return RootCommand.EXIT_USAGE;
        }
        query.addRecord(
                new OPTRecord(
                        DnsCodec.MAX_UDP_RESPONSE_BYTES,
                        0,
                        0,
                        0,
                        List.of(new EdnsCallOption(false, Math.round(timeout * 1_000)).toOption())),
                Section.ADDITIONAL);
        Map<String, Object> result = new LinkedHashMap<>();
        result.put("number", number);
        try {
            Message answer = ask(query.toWire());
            return print(result, answer);
        } catch (PortUnreachableException e) {
            System.err.println("damsonseam: no DNS server listens at " + server + " (UDP): is the front or authority "
                    + "running, and is that its port?");
            return RootCommand.EXIT_FAILED;
        } catch (SocketTimeoutException e) {
            result.put("result", "no answer");
            System.out.println(new ObjectMapper().writeValueAsString(result));
            return RootCommand.EXIT_FAILED;
        }
    }

    private Message ask(byte[] question) throws IOException, DnsFormatException {
        if (tcp) {
            return askOverTcp(question);
        }
        long deadlineNs = System.nanoTime() + (long) (timeout * 1e9);
        try (DatagramSocket socket = new DatagramSocket()) {
            InetSocketAddress address = server.toSocketAddress();
            socket.connect(address);
            socket.send(new DatagramPacket(question, question.length, address));
            while (true) {
                long remainingMs = (deadlineNs - System.nanoTime()) / 1_000_000;
                if (remainingMs <= 0) {
                    throw new SocketTimeoutException();
                }
                socket.setSoTimeout((int) remainingMs);
                DatagramPacket packet = new DatagramPacket(new byte[MAX_DATAGRAM_BYTES], MAX_DATAGRAM_BYTES);
                socket.receive(packet);
                byte[] message = Arrays.copyOf(packet.getData(), packet.getLength());
                if (DnsCodec.messageId(message) == DnsCodec.messageId(question) && DnsCodec.isResponse(message)) {
                    Message answer = DnsCodec.decode(message);
                    return answer.getHeader().getFlag(Flags.TC) ? askOverTcp(question) : answer;
                }
            }
        }
    }

    private Message askOverTcp(byte[] question) throws IOException, DnsFormatException {
        try (Socket socket = new Socket()) {
            socket.connect(server.toSocketAddress(), (int) (timeout * 1_000));
            socket.setSoTimeout((int) (timeout * 1_000));
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            out.writeShort(question.length);
            out.write(question);
            out.flush();
            DataInputStream in = new DataInputStream(socket.getInputStream());
            byte[] answer = new byte[in.readUnsignedShort()];
            in.readFully(answer);
            return DnsCodec.decode(answer);
        }
    }

    private int print(Map<String, Object> result, Message answer) throws IOException {
        List<NAPTRRecord> rules = answer.getSection(Section.ANSWER).stream()
                .filter(r -> r instanceof NAPTRRecord)
                .map(r -> (NAPTRRecord) r)
                .toList();
        result.put("rcode", Rcode.string(answer.getRcode()));
        boolean established = answer.getRcode() == Rcode.NOERROR && !rules.isEmpty();
        String outcome = established ? "stands" : "failed";
        if (established) {
            String digits = number.startsWith("+") ? number.substring(1) : number;
            result.put("servers", NaptrRules.serverHosts(digits, rules));
            result.put("rules", rules.stream().map(NAPTRRecord::getRegexp).toList());
        } else if (answer.getRcode() == Rcode.NXDOMAIN) {
            outcome = "unknown number";
        }
        OPTRecord opt = answer.getOPT();
        if (opt != null) {
            for (var option : opt.getOptions(15)) {
                ExtendedErrorCodeOption error = (ExtendedErrorCodeOption) option;
                outcome = error.getErrorCode() == EnumResponses.EDE_REFUSED ? "refused" : outcome;
                result.put("error", error.getErrorCode());
                result.put("why", error.getText());
            }
            long returnAfterMs = EdnsCallOption.from(opt).timeMs();
            if (returnAfterMs > 0) {
                result.put("returnAfterMs", returnAfterMs);
            }
        }
        result.put("result", outcome);
        System.out.println(new ObjectMapper().writeValueAsString(result));
        return established ? RootCommand.EXIT_OK : RootCommand.EXIT_FAILED;
    }
}
