package damsonseam.adapter;

import damsonseam.Front.Actions;

/** Writes the actions of one instance into the reply to the current batch. */
final class Reply implements Actions {
    private final StringBuilder out;
    private final int instance;

    Reply(StringBuilder out, int instance) {
        this.out = out;
        this.instance = instance;
    }

    private StringBuilder action(String word) {
        return out.append(word).append(' ').append(instance);
    }

    @Override
    public void send(long call, String server, double abandonAt) {
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
    public void refuse(long call, double returnAfter) {
        action("overload_reply")
                .append(' ')
                .append(call)
                .append(' ')
                .append(time(returnAfter))
                .append('\n');
    }

    @Override
    public void fail(long call) {
        action("fail").append(' ').append(call).append('\n');
    }

    @Override
    public void cancel(long call, int attempt) {
        action("stop_attempt")
                .append(' ')
                .append(call)
                .append(' ')
                .append(attempt)
                .append('\n');
    }

    @Override
    public void timer(double after, long token) {
        action("defer")
                .append(' ')
                .append(time(after))
                .append(' ')
                .append(token)
                .append('\n');
    }

    @Override
    public void probe(String server) {
        action("check").append(' ').append(server).append('\n');
    }

    @Override
    public void fetchList() {
        action("get_list").append('\n');
    }

    @Override
    public void followList() {
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
