package damsonseam.node;

import damsonseam.RoutingPolicy.AttemptStatus;
import damsonseam.RoutingPolicy.RejectReason;
import damsonseam.sip.SipHeaders;
import damsonseam.sip.SipMessage;

/** Maps a signalling server's messages to the outcomes that the routing policy knows. */
final class ServerOutcomes {
    private ServerOutcomes() {}

    /** Returns the outcome of an attempt that was answered with this status code of 300 or more. */
    static AttemptStatus attemptStatusOf(int statusCode) {
        return switch (statusCode) {
            case 503 -> AttemptStatus.FULL;
            case 480 -> AttemptStatus.NOT_SENT;
            case 504 -> AttemptStatus.RESET;
            default -> AttemptStatus.ERROR;
        };
    }

    /** Returns the reason of a refusal, {@code NONE} if it names none that is known. */
    static RejectReason rejectReasonOf(SipMessage message) {
        return switch (String.valueOf(message.headers().get("X-Diagnosis"))) {
            case "all_trunks_busy" -> RejectReason.NO_LINE;
            case "via_said_no", "far_cpu_full" -> RejectReason.BEYOND_FULL;
            case "cpu_full" -> RejectReason.PROCESSOR_FULL;
            case "number_busy" -> RejectReason.NUMBER_BUSY;
            default -> RejectReason.NONE;
        };
    }

    /** Returns whether a BYE has this Q.850 cause. */
    static boolean hasCause(SipMessage bye, int cause) {
        return String.valueOf(bye.headers().get(SipHeaders.REASON))
                .replace(" ", "")
                .endsWith("cause=" + cause);
    }

    /** Returns whether a BYE releases a call that was answered: any other cause ends a set-up before its answer. */
    static boolean isReleaseOfAnsweredCall(SipMessage bye) {
        return hasCause(bye, CallRegistry.CAUSE_NORMAL_CLEARING) || hasCause(bye, CallRegistry.CAUSE_TEMPORARY_FAILURE);
    }

    /**
     * Returns whether a message is a negative response to a probe. A process that has abandoned its calls may still
     * send these until it ends, so they are no sign that its calls are alive and do not count as activity.
     */
    static boolean isFailedProbe(SipMessage message) {
        return !message.isRequest()
                && message.cseqMethod().equals(SipMessage.OPTIONS)
                && message.status() != SipMessage.OK;
    }
}
