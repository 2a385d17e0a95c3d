package damsonseam.bench;

import damsonseam.config.FrontSettings;
import damsonseam.overload.AdmissionController;
import damsonseam.overload.LevelAdmissionController;
import java.util.SplittableRandom;

/** What admits calls at a front: the project's own gate, and what it is compared with. */
public enum AdmissionVariant {
    /** The project's gate. */
    LEVELS {
        @Override
        AdmissionController newController(FrontSettings settings) {
            return new LevelAdmissionController(
                    settings.overloadSettings(), settings.ranks().count(), 1);
        }
    },
    /** No shedding: only the bounds of lines and tables. */
    NONE {
        @Override
        AdmissionController newController(FrontSettings settings) {
            return (now, rank, sender, load) -> AdmissionController.ADMIT;
        }
    },
    /** A plain limit of the queue, whatever a call is worth. */
    QUEUE {
        @Override
        AdmissionController newController(FrontSettings settings) {
            return (now, rank, sender, load) -> load.queuedAtOrAbove(0) < 256 ? AdmissionController.ADMIT : 500;
        }
    },
    /** Sheds at random the share that the same wait asks for, whatever a call is worth. */
    RANDOM {
        @Override
        AdmissionController newController(FrontSettings settings) {
            LevelAdmissionController one = new LevelAdmissionController(settings.overloadSettings(), 1, 1);
            SplittableRandom random = new SplittableRandom(1);
            return (now, rank, sender, load) -> one.decide(now, 0, random.nextLong(), load);
        }
    };

    abstract AdmissionController newController(FrontSettings settings);
}
