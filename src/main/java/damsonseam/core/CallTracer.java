package damsonseam.core;

/** Receives each step of each call for the log, in the order in which the sockets see them. */
public interface CallTracer {
    /** A tracer that ignores all steps. */
    CallTracer NONE = (now, call, step, detail) -> {};

    /**
     * Records a step of a call.
     *
     * @param step {@code taken}, {@code looked-up}, {@code set-up}, {@code ended} or {@code answer}
     * @param detail further information, by step: the number, the servers, the outcome or the answer
     */
    void traceStep(double now, CallRecord call, String step, String detail);
}
