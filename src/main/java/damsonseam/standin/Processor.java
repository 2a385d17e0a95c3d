package damsonseam.standin;

import java.util.ArrayDeque;

/**
 * A processor with one line: jobs are done one after another, each taking its work over the present speed. The
 * clock and the wake-up are the owner's. A job that is given up while it waits is dropped.
 */
final class Processor {
    /** Span over which the busy share is measured, in milliseconds. */
    private static final double BUSY_SPAN = 500;

    private static final double NEAR = 0.5;

    /** Asks the owner to call {@link #wake} at this time. */
    @FunctionalInterface
    interface Alarm {
        void at(double time);
    }

    /** One job. */
    static final class Job {
        private final double work;
        private final boolean setUp;
        private final Runnable done;
        private boolean dropped;

        private Job(double work, boolean setUp, Runnable done) {
            this.work = work;
            this.setUp = setUp;
            this.done = done;
        }
    }

    private final ArrayDeque<Job> line = new ArrayDeque<>();
    private final Alarm alarm;
    private Job current;
    private double finishAt;
    private double waitingWork;
    private int waitingSetUps;
    private double speed = 1;
    private double busyAt;
    private double busyShare;

    Processor(Alarm alarm) {
        this.alarm = alarm;
    }

    /** A job comes; {@code work} is its time at full speed, in milliseconds. */
    Job add(double now, double work, boolean setUp, Runnable done) {
        Job job = new Job(work, setUp, done);
        line.add(job);
        waitingWork += work;
        waitingSetUps += setUp ? 1 : 0;
        if (current == null) {
            next(now);
        }
        return job;
    }

    /** Drops a job that still waits; one that is being done is done to its end, but nobody is told. */
    void drop(Job job) {
        if (!job.dropped && job != current && line.remove(job)) {
            waitingWork -= job.work;
            waitingSetUps -= job.setUp ? 1 : 0;
        }
        job.dropped = true;
    }

    private void next(double start) {
        measure(start);
        current = line.poll();
        if (current != null) {
            waitingWork -= current.work;
            waitingSetUps -= current.setUp ? 1 : 0;
            // From the end of the one before, not from the late wake-up: lateness must not add up.
            finishAt = start + current.work / speed;
            alarm.at(finishAt);
        }
    }

    /** The time of an alarm has come; does all that is finished by now, or by half a millisecond from now. */
    void wake(double now) {
        while (current != null && finishAt <= now + NEAR) {
            Job job = current;
            next(finishAt);
            if (!job.dropped) {
                job.done.run();
            }
        }
    }

    /** Goes on after a standstill: the job being done is done now at the earliest. */
    void resume(double now) {
        if (current != null) {
            finishAt = Math.max(finishAt, now);
            alarm.at(finishAt);
        }
    }

    /** The wait that a job coming now would meet, in milliseconds. */
    double wait(double now) {
        return (current == null ? 0 : Math.max(0, finishAt - now)) + waitingWork / speed;
    }

    /** Set-ups waiting. */
    int waiting() {
        return waitingSetUps;
    }

    /** Share of the last half second or so in which it was busy. */
    double busy(double now) {
        measure(now);
        return busyShare;
    }

    private void measure(double now) {
        double span = Math.max(0, now - busyAt);
        double w = 1 - Math.exp(-span / BUSY_SPAN);
        busyShare += w * ((current == null ? 0 : 1) - busyShare);
        busyAt = Math.max(busyAt, now);
    }

    /** Sets the speed, 1 for ordinary; the job being done is not touched. */
    void speed(double to) {
        speed = Math.max(1e-6, to);
    }

    /** Forgets all jobs, as the process has died. */
    void clear() {
        line.clear();
        current = null;
        waitingWork = 0;
        waitingSetUps = 0;
    }
}
