package damsonseam.loop;

import damsonseam.core.CallRecord;
import damsonseam.core.CallTracer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Writes the call trace to the log, one line for each step of a call. */
public final class CallLog implements CallTracer {
    /** Name of the logger that writes the call trace. */
    public static final String LOGGER_NAME = "damsonseam.calls";

    private static final Logger LOG = LoggerFactory.getLogger(LOGGER_NAME);

    private final String front;

    /** Creates the call log of the front with this name. */
    public CallLog(String front) {
        this.front = front;
    }

    @Override
    public void traceStep(double now, CallRecord call, String step, String detail) {
        LOG.atInfo()
                .addKeyValue("front", front)
                .addKeyValue("call", Long.toHexString(call.id()))
                .addKeyValue("number", call.number())
                .addKeyValue("attempt", call.attempts())
                .addKeyValue("ms", Math.round((now - call.receivedAt()) * 1000) / 1000.0)
                .addKeyValue("detail", detail)
                .log(step);
    }
}
