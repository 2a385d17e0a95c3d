package damsonseam.core;

/** Told each step of each call, for the log: the same steps, in the same order, as the sockets see them. */
public interface CallTracer {
    /** Hears nothing. */
    CallTracer NONE = (now, call, step, detail) -> {};

    /** One step of a call: {@code taken}, {@code looked-up}, {@code set-up}, {@code ended}, {@code answer}... */
    void traceStep(double now, CallRecord call, String step, String detail);
}
