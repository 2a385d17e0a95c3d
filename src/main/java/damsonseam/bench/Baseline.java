package damsonseam.bench;

import damsonseam.config.FrontSettings;
import damsonseam.overload.Admission;
import damsonseam.overload.Gate;
import java.util.SplittableRandom;

/** What admits calls at a front: the project's own gate, and what it is compared with. */
public enum Baseline {
    /** The project's gate. */
    LEVELS {
        @Override
        Admission admission(FrontSettings settings) {
            return new Gate(settings.overloadSettings(), settings.ranks().count(), 1);
        }
    },
    /** No shedding: only the bounds of lines and tables. */
    NONE {
        @Override
        Admission admission(FrontSettings settings) {
            return (now, rank, sender, load) -> Admission.TAKE;
        }
    },
    /** A plain limit of the queue, whatever a call is worth. */
    QUEUE {
        @Override
        Admission admission(FrontSettings settings) {
            return (now, rank, sender, load) -> load.queuedFrom(0) < 256 ? Admission.TAKE : 500;
        }
    },
    /** Sheds at random the share that the same wait asks for, whatever a call is worth. */
    RANDOM {
        @Override
        Admission admission(FrontSettings settings) {
            Gate one = new Gate(settings.overloadSettings(), 1, 1);
            SplittableRandom random = new SplittableRandom(1);
            return (now, rank, sender, load) -> one.decide(now, 0, random.nextLong(), load);
        }
    };

    abstract Admission admission(FrontSettings settings);
}
