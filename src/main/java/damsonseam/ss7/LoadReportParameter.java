package damsonseam.ss7;

import damsonseam.RoutingPolicy.ServerLoadReport;
import java.nio.ByteBuffer;
import java.util.OptionalDouble;

/**
 * A calculator's figures of itself as they ride in ANM, CON and REL: an optional parameter of national use
 * ({@link IsupMessage#LOAD_REPORT}) of 9 octets. Octet 1: version, 1. Octet 2: {@code util}, the busy share of its
 * processor in half hundredths. Octets 3-4: {@code queue}, set-ups waiting there. Octets 5-6: free lines.
 * Octets 7-8: lines. Octet 9: spare. All ones mean not given; later versions may be longer.
 */
public final class LoadReportParameter {
    private static final int VERSION = 1;
    private static final int LENGTH = 9;
    private static final int NO_OCTET = 0xff;
    private static final int NO_SHORT = 0xffff;
    private static final double UTIL_STEPS = 200.0;

    private LoadReportParameter() {}

    /** The parameter for these figures. */
    public static IsupMessage.Parameter encode(ServerLoadReport report) {
        ByteBuffer out = ByteBuffer.allocate(LENGTH).put((byte) VERSION);
        out.put((byte)
                (report.utilization().isEmpty()
                        ? NO_OCTET
                        : (int) Math.min(
                                NO_OCTET - 1, Math.round(report.utilization().getAsDouble() * UTIL_STEPS))));
        put(out, report.queueLength());
        put(out, report.freeLines());
        put(out, report.lines());
        return new IsupMessage.Parameter(
                IsupMessage.LOAD_REPORT, out.put((byte) 0).array());
    }

    private static void put(ByteBuffer out, OptionalDouble value) {
        out.putShort((short)
                (value.isEmpty()
                        ? NO_SHORT
                        : (int) Math.min(NO_SHORT - 1, Math.max(0, Math.round(value.getAsDouble())))));
    }

    /** The figures in a message; one that has none, or none that can be read, says nothing. */
    public static ServerLoadReport decode(IsupMessage message) {
        byte[] value = message.parameterValue(IsupMessage.LOAD_REPORT);
        if (value == null || value.length < LENGTH || value[0] < VERSION) {
            return ServerLoadReport.NONE;
        }
        ByteBuffer in = ByteBuffer.wrap(value, 1, LENGTH - 1);
        int util = in.get() & 0xff;
        OptionalDouble queue = get(in);
        OptionalDouble free = get(in);
        OptionalDouble lines = get(in);
        return new ServerLoadReport(
                free,
                lines,
                OptionalDouble.empty(),
                util == NO_OCTET ? OptionalDouble.empty() : OptionalDouble.of(util / UTIL_STEPS),
                queue);
    }

    private static OptionalDouble get(ByteBuffer in) {
        int value = in.getShort() & 0xffff;
        return value == NO_SHORT ? OptionalDouble.empty() : OptionalDouble.of(value);
    }
}
