package damsonseam.loop;

import damsonseam.core.CallRecord;
import damsonseam.core.CallTracer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The story of each call in the log, one line a step. */
public final class CallLog implements CallTracer {
    /** The logger that tells the calls. */
    public static final String LOGGER_NAME = "damsonseam.calls";

    private static final Logger LOG = LoggerFactory.getLogger(LOGGER_NAME);

    private final String front;

    /** The log of the front of this name. */
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
