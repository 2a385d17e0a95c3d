package damsonseam.adapter;

import damsonseam.RoutingPolicy.PolicyActions;

/** Writes the actions of one instance into the reply to the current batch. */
final class ReplyWriter implements PolicyActions {
    private final StringBuilder out;
    private final int instance;

    ReplyWriter(StringBuilder out, int instance) {
        this.out = out;
        this.instance = instance;
    }

    private StringBuilder action(String word) {
        return out.append(word).append(' ').append(instance);
    }

    @Override
    public void sendSetUp(long call, String server, double abandonAt) {
        action("issue")
                .append(' ')
                .append(call)
                .append(' ')
                .append(server)
                .append(' ')
                .append(time(abandonAt))
                .append('\n');
    }

    @Override
    public void refuseCall(long call, double returnAfter) {
        action("overload_reply")
                .append(' ')
                .append(call)
                .append(' ')
                .append(time(returnAfter))
                .append('\n');
    }

    @Override
    public void failCall(long call) {
        action("fail").append(' ').append(call).append('\n');
    }

    @Override
    public void cancelAttempt(long call, int attempt) {
        action("stop_attempt")
                .append(' ')
                .append(call)
                .append(' ')
                .append(attempt)
                .append('\n');
    }

    @Override
    public void startTimer(double after, long token) {
        action("defer")
                .append(' ')
                .append(time(after))
                .append(' ')
                .append(token)
                .append('\n');
    }

    @Override
    public void sendProbe(String server) {
        action("check").append(' ').append(server).append('\n');
    }

    @Override
    public void fetchServerList() {
        action("get_list").append('\n');
    }

    @Override
    public void followServerList() {
        action("keep_informed").append(" 1\n");
    }

    /** The wire counts in microseconds: plain decimals, rounded there. */
    private static String time(double ms) {
        long micros = Math.round(ms * 1000);
        String sign = micros < 0 ? "-" : "";
        long size = Math.abs(micros);
        String part = Long.toString(1000 + size % 1000).substring(1);
        return sign + size / 1000 + "." + part;
    }
}
