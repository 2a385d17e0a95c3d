package damsonseam.config;

import damsonseam.RoutingPolicy.CallClass;
import damsonseam.RoutingPolicy.PolicySettings;
import damsonseam.core.NumberPlan;
import damsonseam.dns.E164Name;
import damsonseam.overload.OverloadSettings;
import damsonseam.overload.WorthRanks;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;

/**
 * All settings of a front. They say what there is and what callers want; how calls are decided is in the
 * module and has no settings.
 *
 * @param front who this front is
 * @param enumSettings the side that callers ask
 * @param classes classes of call
 * @param numbers which numbers are of which class; the longest prefix wins
 * @param upstream the authorities at which numbers are looked up
 * @param directory the pool directory
 * @param trunks the trunk groups toward the calculators
 * @param fleet what all fronts share, the figures of the five rules among it
 * @param limits bounds of tables
 * @param overload levels of the front's own overload
 */
public record FrontSettings(
        Identity front,
        @com.fasterxml.jackson.annotation.JsonProperty("enum") EnumSettings enumSettings,
        List<CallClassSettings> classes,
        List<NumberRange> numbers,
        Upstream upstream,
        Directory directory,
        Trunks trunks,
        Fleet fleet,
        Limits limits,
        Overload overload) {

    /** Checks what concerns several parts at once. */
    public FrontSettings {
        Preconditions.requirePresent(front, "front");
        Preconditions.requirePresent(enumSettings, "enum");
        Preconditions.requirePresent(upstream, "upstream");
        Preconditions.requirePresent(directory, "directory");
        Preconditions.require(classes != null && !classes.isEmpty(), "classes: expected one class at least");
        Preconditions.require(numbers != null && !numbers.isEmpty(), "numbers: expected one prefix at least");
        trunks = Preconditions.orDefault(trunks, new Trunks(null, null, null, null, null, null, null, null));
        fleet = Preconditions.orDefault(fleet, new Fleet(null, null, null, null, null, null, null, null, null, null));
        limits = Preconditions.orDefault(limits, new Limits(null, null, null, null, null, null));
        overload = Preconditions.orDefault(overload, new Overload(null, null, null, null, null, null, null, null));
        for (NumberRange range : numbers) {
            Preconditions.require(
                    classes.stream().anyMatch(c -> c.name().equals(range.callClass())),
                    "numbers: no class is named " + range.callClass());
        }
    }

    /**
     * Who this front is.
     *
     * @param name for logs and the directory
     * @param pointCode its signalling point code, 1 to 16383
     * @param seed of its random choices; left out it is drawn at the start
     */
    public record Identity(String name, Integer pointCode, Long seed) {
        /** Checks. */
        public Identity {
            Preconditions.requirePresent(name, "name");
            Preconditions.requireInRange(Preconditions.requirePresent(pointCode, "pointCode"), 1, 16_383, "pointCode");
        }
    }

    /**
     * The side that callers ask.
     *
     * @param listen address and port of DNS, UDP and TCP alike
     * @param suffix the domain under which numbers are asked for
     * @param keepAnswers how long an answer is kept for a question sent again
     * @param wayBack time kept free at the end of a caller's patience, for the way of the answer
     */
    public record EnumSettings(Endpoint listen, String suffix, TimeSpan keepAnswers, TimeSpan wayBack) {
        /** Checks. */
        public EnumSettings {
            Preconditions.requirePresent(listen, "listen");
            E164Name.parseSuffix(Preconditions.requirePresent(suffix, "suffix"));
            keepAnswers = Preconditions.orDefault(keepAnswers, TimeSpan.ms(3_000));
            wayBack = Preconditions.orDefault(wayBack, TimeSpan.ms(50));
        }
    }

    /**
     * A class of call.
     *
     * @param name for logs only
     * @param aim time in which its callers want a call to stand
     * @param deadline time after which its callers give up for good
     * @param worth of a call that stands in its aim
     * @param lateShare part of the worth of one that stands later
     */
    public record CallClassSettings(String name, TimeSpan aim, TimeSpan deadline, Double worth, Double lateShare) {
        /** Checks. */
        public CallClassSettings {
            Preconditions.requirePresent(name, "name");
            Preconditions.require(Preconditions.requirePresent(aim, "aim").ms() > 0, "aim: expected over 0 ms");
            Preconditions.require(
                    Preconditions.requirePresent(deadline, "deadline").ms() >= aim.ms(),
                    "deadline: expected at least the aim");
            worth = Preconditions.requireInRange(Preconditions.orDefault(worth, 1.0), 0, 1e9, "worth");
            lateShare = Preconditions.requireInRange(Preconditions.orDefault(lateShare, 0.0), 0, 1, "lateShare");
        }

        CallClass toCallClass() {
            return new CallClass(
                    OptionalDouble.of(aim.ms()),
                    OptionalDouble.of(deadline.ms()),
                    OptionalDouble.of(worth),
                    OptionalDouble.of(lateShare),
                    Optional.empty());
        }
    }

    /**
     * Numbers of one class.
     *
     * @param prefix their leading digits, empty for all others
     * @param callClass the name of the class
     * @param patience how long their callers wait for one try
     */
    public record NumberRange(
            String prefix,
            @com.fasterxml.jackson.annotation.JsonProperty("class") String callClass,
            TimeSpan patience) {
        /** Checks. */
        public NumberRange {
            Preconditions.requirePresent(prefix, "prefix");
            Preconditions.require(
                    prefix.chars().allMatch(c -> c >= '0' && c <= '9'), "prefix: expected digits, found " + prefix);
            Preconditions.requirePresent(callClass, "class");
            Preconditions.require(
                    Preconditions.requirePresent(patience, "patience").ms() >= 100,
                    "patience: expected 100 ms at least");
        }
    }

    /**
     * Where numbers are looked up.
     *
     * @param authorities name servers of the zone
     * @param suffix the zone's domain, by default that of {@code enum}
     * @param sockets UDP sockets to draw from
     * @param tries questions sent for one look-up at most
     * @param staleAfter when an old answer is given while authorities are silent
     * @param staleFor how long old answers are kept past their time
     */
    public record Upstream(
            List<Endpoint> authorities,
            String suffix,
            Integer sockets,
            Integer tries,
            TimeSpan staleAfter,
            TimeSpan staleFor) {
        /** Checks. */
        public Upstream {
            Preconditions.require(authorities != null && !authorities.isEmpty(), "authorities: expected one at least");
            Preconditions.requireInRange(authorities.size(), 1, 16, "authorities");
            sockets = Preconditions.requireInRange(Preconditions.orDefault(sockets, 8), 1, 256, "sockets");
            tries = Preconditions.requireInRange(Preconditions.orDefault(tries, 6), 1, 32, "tries");
            staleAfter = Preconditions.orDefault(staleAfter, TimeSpan.ms(300));
            staleFor = Preconditions.orDefault(staleFor, TimeSpan.ms(86_400_000));
        }
    }

    /** The pool directory: where it is. */
    public record Directory(Endpoint address) {
        /** Checks. */
        public Directory {
            Preconditions.requirePresent(address, "address");
        }
    }

    /**
     * The trunk groups, one toward each calculator.
     *
     * @param circuits of each group
     * @param probeTimeout time in which a probe must be answered
     * @param heartbeat time between heartbeats, 0 ms for none
     * @param t1 a release not completed is sent again
     * @param t5 a circuit still not released is reset
     * @param t17 a reset not completed is sent again
     * @param connectTimeout time in which a connection must be made
     * @param releaseWait how long the release complete of an attempt given up is awaited before the guard of
     *     {@code fleet.releaseGuard} runs without it; the longest way of a message to a calculator
     */
    public record Trunks(
            Integer circuits,
            TimeSpan probeTimeout,
            TimeSpan heartbeat,
            TimeSpan t1,
            TimeSpan t5,
            TimeSpan t17,
            TimeSpan connectTimeout,
            TimeSpan releaseWait) {
        /** Checks; the timers are Q.764's. */
        public Trunks {
            circuits = Preconditions.requireInRange(Preconditions.orDefault(circuits, 512), 1, 4095, "circuits");
            probeTimeout = Preconditions.orDefault(probeTimeout, TimeSpan.ms(250));
            heartbeat = Preconditions.orDefault(heartbeat, TimeSpan.ms(30_000));
            t1 = Preconditions.orDefault(t1, TimeSpan.ms(15_000));
            t5 = Preconditions.orDefault(t5, TimeSpan.ms(300_000));
            t17 = Preconditions.orDefault(t17, TimeSpan.ms(300_000));
            connectTimeout = Preconditions.orDefault(connectTimeout, TimeSpan.ms(500));
            releaseWait = Preconditions.orDefault(releaseWait, TimeSpan.ms(100));
            Preconditions.require(t5.ms() >= t1.ms(), "t5: expected at least t1");
        }
    }

    /**
     * What all fronts share.
     *
     * @param fronts how many there are
     * @param maxAttempts set-ups of one call at most
     * @param probes whether calculators may be probed
     * @param drainGrace time in which sends to a server that drains or is gone must stop
     * @param coldFrom share of its capacity at which a server starts
     * @param warmWithin time after which it is warm
     * @param tipMultiple multiple of its capacity that makes a cold server fall
     * @param tipWindow time for which it must be sent that
     * @param releaseGuard time after a bad end in which a call is not sent again
     * @param maxReturnAdvice longest time that callers stay away when asked to
     */
    public record Fleet(
            Integer fronts,
            Integer maxAttempts,
            Boolean probes,
            TimeSpan drainGrace,
            Double coldFrom,
            TimeSpan warmWithin,
            Double tipMultiple,
            TimeSpan tipWindow,
            TimeSpan releaseGuard,
            TimeSpan maxReturnAdvice) {
        /** Checks. */
        public Fleet {
            fronts = Preconditions.requireInRange(Preconditions.orDefault(fronts, 1), 1, 1_000_000, "fronts");
            maxAttempts = Preconditions.requireInRange(Preconditions.orDefault(maxAttempts, 4), 1, 100, "maxAttempts");
            probes = Preconditions.orDefault(probes, true);
            drainGrace = Preconditions.orDefault(drainGrace, TimeSpan.ms(250));
            coldFrom = Preconditions.requireInRange(Preconditions.orDefault(coldFrom, 0.35), 0.01, 1, "coldFrom");
            warmWithin = Preconditions.orDefault(warmWithin, TimeSpan.ms(14_000));
            tipMultiple =
                    Preconditions.requireInRange(Preconditions.orDefault(tipMultiple, 3.0), 1, 1_000, "tipMultiple");
            tipWindow = Preconditions.orDefault(tipWindow, TimeSpan.ms(1_000));
            releaseGuard = Preconditions.orDefault(releaseGuard, TimeSpan.ms(300));
            maxReturnAdvice = Preconditions.orDefault(maxReturnAdvice, TimeSpan.ms(2_000));
        }
    }

    /**
     * Bounds. What happens at each is said in docs/OPERATORS.md.
     *
     * @param calls open at one time, standing ones included
     * @param questions remembered for repeats
     * @param numbers kept by the cache of look-ups
     * @param lookups out at one time
     * @param connections of callers over TCP
     * @param drain time that the end of the program gives open calls
     */
    public record Limits(
            Integer calls, Integer questions, Integer numbers, Integer lookups, Integer connections, TimeSpan drain) {
        /** Checks. */
        public Limits {
            calls = Preconditions.requireInRange(Preconditions.orDefault(calls, 100_000), 1, 10_000_000, "calls");
            questions = Preconditions.requireInRange(
                    Preconditions.orDefault(questions, 2 * calls), 1, 20_000_000, "questions");
            numbers = Preconditions.requireInRange(Preconditions.orDefault(numbers, 100_000), 1, 10_000_000, "numbers");
            lookups = Preconditions.requireInRange(Preconditions.orDefault(lookups, 10_000), 1, 1_000_000, "lookups");
            connections = Preconditions.requireInRange(
                    Preconditions.orDefault(connections, 1_000), 1, 100_000, "connections");
            drain = Preconditions.orDefault(drain, TimeSpan.ms(8_000));
        }
    }

    /**
     * Levels of the front's own overload, see docs/OVERLOAD.md.
     *
     * @param delayOnset wait before the front looks at a call, from which calls of least worth are refused
     * @param delayCeiling the same, from which the dearest are refused too
     * @param memoryOnset share of the heap in use after collections, from which caches and then calls give way
     * @param memoryCeiling the same, from which the dearest calls are refused too
     * @param tableOnset share of the call table and of the look-ups that is open to calls of any worth
     * @param forecast how far ahead memory in use is foreseen
     * @param fairMultiple fair shares that one sender may ask before what is above them is refused first
     * @param queue calls of each worth that may wait before the loop
     */
    public record Overload(
            TimeSpan delayOnset,
            TimeSpan delayCeiling,
            Double memoryOnset,
            Double memoryCeiling,
            Double tableOnset,
            TimeSpan forecast,
            Double fairMultiple,
            Integer queue) {
        /** Checks and defaults. */
        public Overload {
            delayOnset = Preconditions.orDefault(delayOnset, TimeSpan.ms(20));
            delayCeiling = Preconditions.orDefault(delayCeiling, TimeSpan.ms(100));
            memoryOnset = Preconditions.orDefault(memoryOnset, 0.75);
            memoryCeiling = Preconditions.orDefault(memoryCeiling, 0.92);
            tableOnset = Preconditions.orDefault(tableOnset, 0.8);
            forecast = Preconditions.orDefault(forecast, TimeSpan.ms(30_000));
            fairMultiple = Preconditions.orDefault(fairMultiple, 3.0);
            queue = Preconditions.requireInRange(Preconditions.orDefault(queue, 4_096), 16, 1 << 20, "queue");
            overloadSettings(
                    delayOnset, delayCeiling, memoryOnset, memoryCeiling, tableOnset, forecast, fairMultiple, 0);
        }

        private static OverloadSettings overloadSettings(
                TimeSpan delayOnset,
                TimeSpan delayCeiling,
                double memoryOnset,
                double memoryCeiling,
                double tableOnset,
                TimeSpan forecast,
                double fairMultiple,
                double longestAdvice) {
            return new OverloadSettings(
                    delayOnset.ms(),
                    delayCeiling.ms(),
                    memoryOnset,
                    memoryCeiling,
                    tableOnset,
                    forecast.ms(),
                    fairMultiple,
                    longestAdvice);
        }
    }

    /** The levels of the front's own overload. */
    public OverloadSettings overloadSettings() {
        return Overload.overloadSettings(
                overload.delayOnset(),
                overload.delayCeiling(),
                overload.memoryOnset(),
                overload.memoryCeiling(),
                overload.tableOnset(),
                overload.forecast(),
                overload.fairMultiple(),
                fleet.maxReturnAdvice().ms());
    }

    /** The ranks of the classes by worth. */
    public WorthRanks ranks() {
        return new WorthRanks(classes.stream().map(CallClassSettings::worth).toList());
    }

    /** Time between beats of the front's loop, in milliseconds: a quarter of the module's own. */
    public static final double TICK_MS = 5;
    /** Answers later than this after the caller's time do not count; also the core's own last moment. */
    public static final double ANSWER_SLACK_MS = 20;

    /** What the module is given. */
    public PolicySettings moduleSettings(long seed) {
        List<CallClass> forModule = new ArrayList<>();
        classes.forEach(c -> forModule.add(c.toCallClass()));
        return new PolicySettings(
                seed,
                OptionalInt.of(fleet.fronts()),
                forModule,
                OptionalInt.empty(),
                OptionalInt.of(fleet.maxAttempts()),
                Optional.of(true),
                Optional.of(fleet.probes()),
                Optional.of(false),
                Optional.of(false),
                OptionalDouble.of(2 * TICK_MS),
                OptionalDouble.of(ANSWER_SLACK_MS),
                OptionalDouble.of(fleet.drainGrace().ms()),
                OptionalDouble.of(fleet.coldFrom()),
                OptionalDouble.of(fleet.warmWithin().ms()),
                OptionalDouble.of(fleet.tipMultiple()),
                OptionalDouble.of(fleet.tipWindow().ms()),
                OptionalDouble.of(fleet.releaseGuard().ms()),
                OptionalDouble.empty(),
                OptionalDouble.of(fleet.maxReturnAdvice().ms()));
    }

    /** The plan of numbers. */
    public NumberPlan numberPlan() {
        List<NumberPlan.Entry> entries = new ArrayList<>();
        for (NumberRange range : numbers) {
            int place = 0;
            while (!classes.get(place).name().equals(range.callClass())) {
                place++;
            }
            entries.add(
                    new NumberPlan.Entry(range.prefix(), place, range.patience().ms()));
        }
        return new NumberPlan(entries);
    }
}
