package damsonseam.standin;

import com.fasterxml.jackson.annotation.JsonProperty;
import damsonseam.config.Preconditions;
import damsonseam.config.TimeSpan;
import java.util.List;

/**
 * A scripted scenario: the simulated peers, the load, and the faults with their times. It is read from YAML, whose keys
 * are the component names.
 *
 * @param name name for reports
 * @param length duration of the run
 * @param seed seed of all random draws
 * @param fronts number of fronts
 * @param calculators number of calculators and their capacity
 * @param load callers
 * @param directory delays of the directory
 * @param cycle period after which the faults are repeated; if absent, they occur once
 * @param troubles faults
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

    /** Sets defaults for missing values and checks the others. */
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

    /**
     * The calculators.
     *
     * @param count number of calculators
     * @param each capacity and behaviour of each
     */
    public record Calculators(Integer count, CalculatorSettings each) {
        /** Sets defaults for missing values and checks the others. */
        public Calculators {
            count = Preconditions.requireInRange(Preconditions.orDefault(count, 10), 1, 99, "count");
            each = Preconditions.orDefault(each, CalculatorSettings.defaults());
        }
    }

    /**
     * The load.
     *
     * @param callsPerS calls per second, redials not included
     * @param classes classes of callers
     */
    public record Load(Double callsPerS, List<CallerClass> classes) {
        /** Sets defaults and checks ranges; by default 94 % of the calls are low-worth and 6 % high-worth. */
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
     * @param name name of the class
     * @param prefix digits that its numbers begin with
     * @param share its share of the calls, relative to the other classes
     * @param aim set-up time within which a call earns its full worth
     * @param deadline hard limit of the set-up time
     * @param patience time after which a caller abandons an attempt
     * @param worth worth of a call
     * @param lateShare share of the worth that a call established later earns
     * @param hold mean holding time of a call
     * @param redials maximum number of redials per call
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
        /** Sets defaults for missing values and checks the others. */
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

    /**
     * The directory.
     *
     * @param notice delay of its notification of a crash or a start
     * @param silentNotice delay of its notification of a machine that went silent
     */
    public record Directory(TimeSpan notice, TimeSpan silentNotice) {
        /** Sets defaults for missing values and checks the others. */
        public Directory {
            notice = Preconditions.orDefault(notice, TimeSpan.ms(2_000));
            silentNotice = Preconditions.orDefault(silentNotice, TimeSpan.ms(6_000));
        }
    }

    /** The kinds of fault. */
    public enum FaultKind {
        /** Calculator processes die and drop their calls; they start again, cold, at the end. */
        @JsonProperty("crash")
        CRASH,
        /** Calculators go silent with their connections open; they start again, cold, at the end. */
        @JsonProperty("vanish")
        VANISH,
        /** Calculators are paused and resumed at the end. */
        @JsonProperty("hang")
        HANG,
        /** Calculators' processors run {@code size} times slower. */
        @JsonProperty("slow")
        SLOW,
        /** Calculators' processors slow down to {@code size} times slower; then they crash and restart cold. */
        @JsonProperty("ageing")
        AGEING,
        /** Calculators are replaced by cold ones, one after another, each after a drain. */
        @JsonProperty("deploy")
        DEPLOY,
        /** All calculators restart at once, cold. */
        @JsonProperty("mass-restart")
        MASS_RESTART,
        /** Fronts are paused for {@code size} ms, again and again. */
        @JsonProperty("front-stall")
        FRONT_STALL,
        /** The directory notifies {@code size} ms later than usual. */
        @JsonProperty("stale-directory")
        STALE_DIRECTORY,
        /** The directory sends no updates. */
        @JsonProperty("silent-directory")
        SILENT_DIRECTORY,
        /** The call rate is {@code size} times the usual one. */
        @JsonProperty("burst")
        BURST,
        /** A share {@code size} of the calculators' answers is lost. */
        @JsonProperty("answer-lost")
        ANSWER_LOST,
        /** Calculators reject all set-ups immediately. */
        @JsonProperty("turn-away")
        TURN_AWAY,
        /** Name servers do not respond. */
        @JsonProperty("dns-silent")
        DNS_SILENT,
        /** Name servers respond {@code size} ms late. */
        @JsonProperty("dns-slow")
        DNS_SLOW,
        /** Name servers refuse queries for the zone. */
        @JsonProperty("dns-lame")
        DNS_LAME,
        /** Forged responses arrive before those of the name servers. */
        @JsonProperty("dns-forged")
        DNS_FORGED
    }

    /**
     * A fault.
     *
     * @param kind kind of fault
     * @param at time at which it begins, from the start of a cycle
     * @param duration time that it lasts; {@code for} in YAML
     * @param part share of the calculators, fronts or name servers that it affects; at least one is affected
     * @param size severity, in the unit that the kind says
     */
    public record Fault(FaultKind kind, TimeSpan at, @JsonProperty("for") TimeSpan duration, Double part, Double size) {
        /** Sets defaults for missing values and checks the others. */
        public Fault {
            Preconditions.requirePresent(kind, "kind");
            Preconditions.requirePresent(at, "at");
            duration = Preconditions.orDefault(duration, TimeSpan.ms(10_000));
            part = Preconditions.requireInRange(Preconditions.orDefault(part, 0.1), 0, 1, "part");
            size = Preconditions.requireInRange(Preconditions.orDefault(size, 2.0), 0, 1e6, "size");
        }
    }
}
