package damsonseam.ss7;

import damsonseam.RoutingPolicy.ServerLoadReport;
import java.nio.ByteBuffer;
import java.util.OptionalDouble;

/**
 * Codec of the load report that a calculator sends in ANM, CON and REL: an optional ISUP parameter of national use
 * ({@link IsupMessage#LOAD_REPORT}) of 9 octets.
 *
 * <ul>
 *   <li>Octet 1: version, 1.
 *   <li>Octet 2: {@code util}, the processor utilization in steps of half a percent.
 *   <li>Octets 3-4: {@code queue}, set-ups queued at the calculator.
 *   <li>Octets 5-6: free lines.
 *   <li>Octets 7-8: lines.
 *   <li>Octet 9: spare.
 * </ul>
 *
 * <p>A field of all ones is not given. Later versions may be longer.
 */
public final class LoadReportParameter {
    private static final int VERSION = 1;
    private static final int LENGTH_BYTES = 9;
    private static final int OCTET_NOT_GIVEN = 0xff;
    private static final int SHORT_NOT_GIVEN = 0xffff;
    private static final double UTIL_STEPS_PER_UNIT = 200.0;

    private LoadReportParameter() {}

    /** Encodes a load report as a parameter. */
    public static IsupMessage.Parameter encode(ServerLoadReport report) {
        ByteBuffer out = ByteBuffer.allocate(LENGTH_BYTES).put((byte) VERSION);
        out.put((byte)
                (report.utilization().isEmpty()
                        ? OCTET_NOT_GIVEN
                        : (int) Math.min(
                                OCTET_NOT_GIVEN - 1,
                                Math.round(report.utilization().getAsDouble() * UTIL_STEPS_PER_UNIT))));
        putShort(out, report.queueLength());
        putShort(out, report.freeLines());
        putShort(out, report.lines());
        return new IsupMessage.Parameter(
                IsupMessage.LOAD_REPORT, out.put((byte) 0).array());
    }

    private static void putShort(ByteBuffer out, OptionalDouble value) {
        out.putShort((short)
                (value.isEmpty()
                        ? SHORT_NOT_GIVEN
                        : (int) Math.min(SHORT_NOT_GIVEN - 1, Math.max(0, Math.round(value.getAsDouble())))));
    }

    /** Decodes the load report of a message; returns an empty report if there is none or it cannot be decoded. */
    public static ServerLoadReport decode(IsupMessage message) {
        byte[] value = message.parameterValue(IsupMessage.LOAD_REPORT);
        if (value == null || value.length < LENGTH_BYTES || value[0] < VERSION) {
            return ServerLoadReport.NONE;
        }
        ByteBuffer in = ByteBuffer.wrap(value, 1, LENGTH_BYTES - 1);
        int util = in.get() & 0xff;
        OptionalDouble queueLength = getShort(in);
        OptionalDouble freeLines = getShort(in);
        OptionalDouble lines = getShort(in);
        return new ServerLoadReport(
                freeLines,
                lines,
                OptionalDouble.empty(),
                util == OCTET_NOT_GIVEN ? OptionalDouble.empty() : OptionalDouble.of(util / UTIL_STEPS_PER_UNIT),
                queueLength);
    }

    private static OptionalDouble getShort(ByteBuffer in) {
        int value = in.getShort() & 0xffff;
        return value == SHORT_NOT_GIVEN ? OptionalDouble.empty() : OptionalDouble.of(value);
    }
}
