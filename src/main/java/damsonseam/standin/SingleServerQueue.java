package damsonseam.standin;

import java.util.ArrayDeque;

/**
 * A simulated processor: a FIFO queue with a single server. A job takes its work divided by the speed at the time it
 * starts. The owner supplies the clock and the wake-up timer, and calls all methods on one thread.
 */
final class SingleServerQueue {
    /** Time constant of the moving average of the utilization. */
    private static final double UTILIZATION_TIME_CONSTANT_MS = 500;

    /** Jobs due within this time are finished at once, since the timers are not exact. */
    private static final double WAKE_UP_TOLERANCE_MS = 0.5;

    /** Schedules a call of {@link #runFinishedJobs} at a time, in milliseconds of the owner's clock. */
    @FunctionalInterface
    interface WakeUpTimer {
        void schedule(double timeMs);
    }

    /** A job that was submitted. */
    static final class Job {
        private final double workMs;
        private final boolean setUp;
        private final Runnable onDone;
        private boolean cancelled;

        private Job(double workMs, boolean setUp, Runnable onDone) {
            this.workMs = workMs;
            this.setUp = setUp;
            this.onDone = onDone;
        }
    }

    private final ArrayDeque<Job> queue = new ArrayDeque<>();
    private final WakeUpTimer wakeUpTimer;
    private Job current;
    private double finishMs;
    private double queuedWorkMs;
    private int queuedSetUps;
    private double speed = 1;
    private double measuredMs;
    private double utilization;

    SingleServerQueue(WakeUpTimer wakeUpTimer) {
        this.wakeUpTimer = wakeUpTimer;
    }

    /**
     * Adds a job to the queue.
     *
     * @param nowMs current time
     * @param workMs time that the job takes at speed 1
     * @param setUp whether the job counts as a set-up in {@link #queuedSetUps}
     * @param onDone runs when the job is finished, unless it is cancelled before
     */
    Job submit(double nowMs, double workMs, boolean setUp, Runnable onDone) {
        Job job = new Job(workMs, setUp, onDone);
        queue.add(job);
        queuedWorkMs += workMs;
        queuedSetUps += setUp ? 1 : 0;
        if (current == null) {
            startNext(nowMs);
        }
        return job;
    }

    /** Removes a queued job; a job in service keeps the server busy to its end but its callback is not run. */
    void cancel(Job job) {
        if (!job.cancelled && job != current && queue.remove(job)) {
            queuedWorkMs -= job.workMs;
            queuedSetUps -= job.setUp ? 1 : 0;
        }
        job.cancelled = true;
    }

    private void startNext(double startMs) {
        updateUtilization(startMs);
        current = queue.poll();
        if (current != null) {
            queuedWorkMs -= current.workMs;
            queuedSetUps -= current.setUp ? 1 : 0;
            // Counted from the end of the job before, not from the wake-up, so that late wake-ups do not add up.
            finishMs = startMs + current.workMs / speed;
            wakeUpTimer.schedule(finishMs);
        }
    }

    /** Finishes the jobs that are due by now, within the tolerance, and runs their callbacks. */
    void runFinishedJobs(double nowMs) {
        while (current != null && finishMs <= nowMs + WAKE_UP_TOLERANCE_MS) {
            Job job = current;
            startNext(finishMs);
            if (!job.cancelled) {
                job.onDone.run();
            }
        }
    }

    /** Resumes after a pause: the job in service is finished now at the earliest. */
    void resume(double nowMs) {
        if (current != null) {
            finishMs = Math.max(finishMs, nowMs);
            wakeUpTimer.schedule(finishMs);
        }
    }

    /** Returns the time that a job submitted now would wait, in milliseconds. */
    double waitingTimeMs(double nowMs) {
        return (current == null ? 0 : Math.max(0, finishMs - nowMs)) + queuedWorkMs / speed;
    }

    /** Returns the number of set-ups in the queue. */
    int queuedSetUps() {
        return queuedSetUps;
    }

    /** Returns the share of time in which the server was busy, as an exponential moving average. */
    double utilization(double nowMs) {
        updateUtilization(nowMs);
        return utilization;
    }

    private void updateUtilization(double nowMs) {
        double elapsedMs = Math.max(0, nowMs - measuredMs);
        double weight = 1 - Math.exp(-elapsedMs / UTILIZATION_TIME_CONSTANT_MS);
        utilization += weight * ((current == null ? 0 : 1) - utilization);
        measuredMs = Math.max(measuredMs, nowMs);
    }

    /** Sets the speed, normally 1, of the jobs that start from now on; the job in service is not affected. */
    void setSpeed(double newSpeed) {
        speed = Math.max(1e-6, newSpeed);
    }

    /** Discards all jobs without running their callbacks. */
    void clear() {
        queue.clear();
        current = null;
        queuedWorkMs = 0;
        queuedSetUps = 0;
    }
}
