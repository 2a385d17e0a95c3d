package damsonseam.standin;

import com.fasterxml.jackson.annotation.JsonProperty;
import damsonseam.config.Preconditions;
import damsonseam.config.TimeSpan;
import java.util.List;

/**
 * A scripted day: what there is, who calls, and what goes wrong when. Read from YAML.
 *
 * @param name for reports
 * @param length of the day
 * @param seed of everything drawn
 * @param fronts how many
 * @param calculators how many and what they can do
 * @param load who calls
 * @param directory how late it is
 * @param cycle after which the troubles come again; left out they come once
 * @param troubles what goes wrong
 */
public record Scenario(
        String name,
        TimeSpan length,
        Long seed,
        Integer fronts,
        Calculators calculators,
        Load load,
        Directory directory,
        TimeSpan cycle,
        List<Fault> troubles) {

    /** Checks and defaults. */
    public Scenario {
        name = Preconditions.orDefault(name, "day");
        length = Preconditions.orDefault(length, TimeSpan.ms(60_000));
        seed = Preconditions.orDefault(seed, 1L);
        fronts = Preconditions.requireInRange(Preconditions.orDefault(fronts, 8), 1, 500, "fronts");
        calculators = Preconditions.orDefault(calculators, new Calculators(null, null));
        load = Preconditions.orDefault(load, new Load(null, null));
        directory = Preconditions.orDefault(directory, new Directory(null, null));
        troubles = Preconditions.orDefault(troubles, List.of());
    }

    /** The calculators: how many, and what each can do. */
    public record Calculators(Integer count, CalculatorSettings each) {
        /** Checks and defaults. */
        public Calculators {
            count = Preconditions.requireInRange(Preconditions.orDefault(count, 10), 1, 99, "count");
            each = Preconditions.orDefault(each, CalculatorSettings.defaults());
        }
    }

    /** The callers: first tries a second, and their classes. */
    public record Load(Double callsPerS, List<CallerClass> classes) {
        /** Checks and defaults: nine cheap calls of ten and a dear one. */
        public Load {
            callsPerS = Preconditions.requireInRange(Preconditions.orDefault(callsPerS, 240.0), 0.01, 1e6, "callsPerS");
            classes = Preconditions.orDefault(
                    classes,
                    List.of(
                            new CallerClass(
                                    "simulacion",
                                    "59821",
                                    0.94,
                                    TimeSpan.parse("1.5 s"),
                                    TimeSpan.parse("9 s"),
                                    TimeSpan.parse("3 s"),
                                    1.0,
                                    0.25,
                                    TimeSpan.parse("8.5 s"),
                                    2),
                            new CallerClass(
                                    "tasacion-firma",
                                    "59828",
                                    0.06,
                                    TimeSpan.parse("1.2 s"),
                                    TimeSpan.parse("6 s"),
                                    TimeSpan.parse("2.2 s"),
                                    8.0,
                                    0.25,
                                    TimeSpan.parse("4.3 s"),
                                    2)));
        }
    }

    /**
     * A class of callers.
     *
     * @param name of the class
     * @param prefix of its numbers
     * @param share of first tries
     * @param aim time in which a call is wanted to stand
     * @param deadline time after which its callers give up for good
     * @param patience time after which they give a try up
     * @param worth of a call
     * @param lateShare part of the worth of a late one
     * @param hold mean length of a call
     * @param redials further tries at most
     */
    public record CallerClass(
            String name,
            String prefix,
            Double share,
            TimeSpan aim,
            TimeSpan deadline,
            TimeSpan patience,
            Double worth,
            Double lateShare,
            TimeSpan hold,
            Integer redials) {
        /** Checks and defaults. */
        public CallerClass {
            Preconditions.requirePresent(name, "name");
            Preconditions.require(
                    Preconditions.requirePresent(prefix, "prefix").matches("\\d{1,10}"),
                    "prefix: expected 1 to 10 digits");
            share = Preconditions.requireInRange(Preconditions.orDefault(share, 1.0), 0, 1e6, "share");
            Preconditions.requirePresent(aim, "aim");
            Preconditions.requirePresent(deadline, "deadline");
            Preconditions.requirePresent(patience, "patience");
            worth = Preconditions.requireInRange(Preconditions.orDefault(worth, 1.0), 0, 1e6, "worth");
            lateShare = Preconditions.requireInRange(Preconditions.orDefault(lateShare, 0.25), 0, 1, "lateShare");
            hold = Preconditions.orDefault(hold, TimeSpan.ms(8_000));
            redials = Preconditions.requireInRange(Preconditions.orDefault(redials, 2), 0, 10, "redials");
        }
    }

    /** The directory: how late it tells of a crash or a start, and of a machine that went silent. */
    public record Directory(TimeSpan notice, TimeSpan silentNotice) {
        /** Checks and defaults. */
        public Directory {
            notice = Preconditions.orDefault(notice, TimeSpan.ms(2_000));
            silentNotice = Preconditions.orDefault(silentNotice, TimeSpan.ms(6_000));
        }
    }

    /** The kinds of trouble. */
    public enum FaultKind {
        /** Processes die, calls are cut, they come back cold after the time. */
        @JsonProperty("crash")
        CRASH,
        /** Machines go silent and come back cold. */
        @JsonProperty("vanish")
        VANISH,
        /** Processes stop and go on where they were. */
        @JsonProperty("hang")
        HANG,
        /** Processors run {@code size} times slower. */
        @JsonProperty("slow")
        SLOW,
        /** Processors run slower and slower, up to {@code size} times, then die once. */
        @JsonProperty("ageing")
        AGEING,
        /** New processors take the place of old ones, one batch after another, each after a drain. */
        @JsonProperty("deploy")
        DEPLOY,
        /** All restart at once, cold. */
        @JsonProperty("mass-restart")
        MASS_RESTART,
        /** Fronts stand still for {@code size} ms now and then. */
        @JsonProperty("front-stall")
        FRONT_STALL,
        /** The directory is {@code size} ms later than usual. */
        @JsonProperty("stale-directory")
        STALE_DIRECTORY,
        /** The directory tells nothing. */
        @JsonProperty("silent-directory")
        SILENT_DIRECTORY,
        /** Calls come {@code size} times as often. */
        @JsonProperty("burst")
        BURST,
        /** A share {@code size} of the calculators' answers is lost. */
        @JsonProperty("answer-lost")
        ANSWER_LOST,
        /** Calculators turn all set-ups away at once. */
        @JsonProperty("turn-away")
        TURN_AWAY,
        /** Authorities of the numbers are silent. */
        @JsonProperty("dns-silent")
        DNS_SILENT,
        /** Authorities answer {@code size} ms late. */
        @JsonProperty("dns-slow")
        DNS_SLOW,
        /** Authorities do not serve the zone any more. */
        @JsonProperty("dns-lame")
        DNS_LAME,
        /** Forged answers come before the authorities' own. */
        @JsonProperty("dns-forged")
        DNS_FORGED
    }

    /**
     * One trouble.
     *
     * @param kind what goes wrong
     * @param at when it begins
     * @param duration how long it lasts
     * @param part of the calculators, fronts or authorities that it strikes, one at least
     * @param size how bad, see the kind
     */
    public record Fault(FaultKind kind, TimeSpan at, @JsonProperty("for") TimeSpan duration, Double part, Double size) {
        /** Checks and defaults. */
        public Fault {
            Preconditions.requirePresent(kind, "kind");
            Preconditions.requirePresent(at, "at");
            duration = Preconditions.orDefault(duration, TimeSpan.ms(10_000));
            part = Preconditions.requireInRange(Preconditions.orDefault(part, 0.1), 0, 1, "part");
            size = Preconditions.requireInRange(Preconditions.orDefault(size, 2.0), 0, 1e6, "size");
        }
    }
}
