package damsonseam.adapter;

import damsonseam.RoutingPolicy.PolicyActions;

/** Appends the actions that one instance requests to the reply to the current batch. */
final class ReplyWriter implements PolicyActions {
    private final StringBuilder out;
    private final int instance;

    ReplyWriter(StringBuilder out, int instance) {
        this.out = out;
        this.instance = instance;
    }

    private StringBuilder appendAction(String name) {
        return out.append(name).append(' ').append(instance);
    }

    @Override
    public void sendSetUp(long callId, String serverId, double abandonAt) {
        appendAction("issue")
                .append(' ')
                .append(callId)
                .append(' ')
                .append(serverId)
                .append(' ')
                .append(formatMs(abandonAt))
                .append('\n');
    }

    @Override
    public void refuseCall(long callId, double retryAfter) {
        appendAction("overload_reply")
                .append(' ')
                .append(callId)
                .append(' ')
                .append(formatMs(retryAfter))
                .append('\n');
    }

    @Override
    public void failCall(long callId) {
        appendAction("fail").append(' ').append(callId).append('\n');
    }

    @Override
    public void cancelAttempt(long callId, int attempt) {
        appendAction("stop_attempt")
                .append(' ')
                .append(callId)
                .append(' ')
                .append(attempt)
                .append('\n');
    }

    @Override
    public void startTimer(double delay, long token) {
        appendAction("defer")
                .append(' ')
                .append(formatMs(delay))
                .append(' ')
                .append(token)
                .append('\n');
    }

    @Override
    public void sendProbe(String serverId) {
        appendAction("check").append(' ').append(serverId).append('\n');
    }

    @Override
    public void fetchServerList() {
        appendAction("get_list").append('\n');
    }

    @Override
    public void followServerList() {
        appendAction("keep_informed").append(" 1\n");
    }

    /** Formats milliseconds as a plain decimal, rounded to whole microseconds. */
    private static String formatMs(double ms) {
        long micros = Math.round(ms * 1000);
        String sign = micros < 0 ? "-" : "";
        long magnitude = Math.abs(micros);
        String fraction = Long.toString(1000 + magnitude % 1000).substring(1);
        return sign + magnitude / 1000 + "." + fraction;
    }
}
