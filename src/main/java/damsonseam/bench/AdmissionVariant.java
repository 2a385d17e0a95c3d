package damsonseam.bench;

import damsonseam.config.FrontSettings;
import damsonseam.overload.AdmissionController;
import damsonseam.overload.LevelAdmissionController;
import java.util.SplittableRandom;

/** The admission controllers that are compared. The names are values of an option and keys of the report. */
public enum AdmissionVariant {
    /** The front's own admission control by discard level. */
    LEVELS {
        @Override
        AdmissionController newController(FrontSettings settings) {
            return new LevelAdmissionController(
                    settings.overloadSettings(), settings.ranks().count(), 1);
        }
    },
    /** No load shedding: only the bounds of circuits and tables limit the calls. */
    NONE {
        @Override
        AdmissionController newController(FrontSettings settings) {
            return (now, rank, sender, load) -> AdmissionController.ADMIT;
        }
    },
    /** A fixed limit of the queue length, regardless of the worth of a call. */
    QUEUE {
        @Override
        AdmissionController newController(FrontSettings settings) {
            return (now, rank, sender, load) -> load.queuedAtOrAbove(0) < 256 ? AdmissionController.ADMIT : 500;
        }
    },
    /** Random shedding: rejects the share that the front's own control would, regardless of the worth of a call. */
    RANDOM {
        @Override
        AdmissionController newController(FrontSettings settings) {
            LevelAdmissionController singleRank = new LevelAdmissionController(settings.overloadSettings(), 1, 1);
            SplittableRandom random = new SplittableRandom(1);
            return (now, rank, sender, load) -> singleRank.decide(now, 0, random.nextLong(), load);
        }
    };

    /** Creates a controller of this variant for a front with these settings. */
    abstract AdmissionController newController(FrontSettings settings);
}
