package damsonseam.config;

import damsonseam.Front.CallClass;
import damsonseam.Front.Settings;
import damsonseam.core.NumberPlan;
import damsonseam.dns.E164Name;
import damsonseam.overload.OverloadSettings;
import damsonseam.overload.Ranks;
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
 * @param enumeration the side that callers ask
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
        @com.fasterxml.jackson.annotation.JsonProperty("enum") Enumeration enumeration,
        List<ClassOfCall> classes,
        List<NumberRange> numbers,
        Upstream upstream,
        Directory directory,
        Trunks trunks,
        Fleet fleet,
        Limits limits,
        Overload overload) {

    /** Checks what concerns several parts at once. */
    public FrontSettings {
        Check.need(front, "front");
        Check.need(enumeration, "enum");
        Check.need(upstream, "upstream");
        Check.need(directory, "directory");
        Check.that(classes != null && !classes.isEmpty(), "classes: expected one class at least");
        Check.that(numbers != null && !numbers.isEmpty(), "numbers: expected one prefix at least");
        trunks = Check.or(trunks, new Trunks(null, null, null, null, null, null, null, null));
        fleet = Check.or(fleet, new Fleet(null, null, null, null, null, null, null, null, null, null));
        limits = Check.or(limits, new Limits(null, null, null, null, null, null));
        overload = Check.or(overload, new Overload(null, null, null, null, null, null, null, null));
        for (NumberRange range : numbers) {
            Check.that(
                    classes.stream().anyMatch(c -> c.name().equals(range.of())),
                    "numbers: no class is named " + range.of());
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
            Check.need(name, "name");
            Check.within(Check.need(pointCode, "pointCode"), 1, 16_383, "pointCode");
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
    public record Enumeration(Endpoint listen, String suffix, Span keepAnswers, Span wayBack) {
        /** Checks. */
        public Enumeration {
            Check.need(listen, "listen");
            E164Name.parseSuffix(Check.need(suffix, "suffix"));
            keepAnswers = Check.or(keepAnswers, Span.ms(3_000));
            wayBack = Check.or(wayBack, Span.ms(50));
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
    public record ClassOfCall(String name, Span aim, Span deadline, Double worth, Double lateShare) {
        /** Checks. */
        public ClassOfCall {
            Check.need(name, "name");
            Check.that(Check.need(aim, "aim").ms() > 0, "aim: expected over 0 ms");
            Check.that(Check.need(deadline, "deadline").ms() >= aim.ms(), "deadline: expected at least the aim");
            worth = Check.within(Check.or(worth, 1.0), 0, 1e9, "worth");
            lateShare = Check.within(Check.or(lateShare, 0.0), 0, 1, "lateShare");
        }

        CallClass forModule() {
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
     * @param of the name of the class
     * @param patience how long their callers wait for one try
     */
    public record NumberRange(
            String prefix, @com.fasterxml.jackson.annotation.JsonProperty("class") String of, Span patience) {
        /** Checks. */
        public NumberRange {
            Check.need(prefix, "prefix");
            Check.that(prefix.chars().allMatch(c -> c >= '0' && c <= '9'), "prefix: expected digits, found " + prefix);
            Check.need(of, "class");
            Check.that(Check.need(patience, "patience").ms() >= 100, "patience: expected 100 ms at least");
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
            List<Endpoint> authorities, String suffix, Integer sockets, Integer tries, Span staleAfter, Span staleFor) {
        /** Checks. */
        public Upstream {
            Check.that(authorities != null && !authorities.isEmpty(), "authorities: expected one at least");
            Check.within(authorities.size(), 1, 16, "authorities");
            sockets = Check.within(Check.or(sockets, 8), 1, 256, "sockets");
            tries = Check.within(Check.or(tries, 6), 1, 32, "tries");
            staleAfter = Check.or(staleAfter, Span.ms(300));
            staleFor = Check.or(staleFor, Span.ms(86_400_000));
        }
    }

    /** The pool directory: where it is. */
    public record Directory(Endpoint address) {
        /** Checks. */
        public Directory {
            Check.need(address, "address");
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
            Span probeTimeout,
            Span heartbeat,
            Span t1,
            Span t5,
            Span t17,
            Span connectTimeout,
            Span releaseWait) {
        /** Checks; the timers are Q.764's. */
        public Trunks {
            circuits = Check.within(Check.or(circuits, 512), 1, 4095, "circuits");
            probeTimeout = Check.or(probeTimeout, Span.ms(250));
            heartbeat = Check.or(heartbeat, Span.ms(30_000));
            t1 = Check.or(t1, Span.ms(15_000));
            t5 = Check.or(t5, Span.ms(300_000));
            t17 = Check.or(t17, Span.ms(300_000));
            connectTimeout = Check.or(connectTimeout, Span.ms(500));
            releaseWait = Check.or(releaseWait, Span.ms(100));
            Check.that(t5.ms() >= t1.ms(), "t5: expected at least t1");
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
            Span drainGrace,
            Double coldFrom,
            Span warmWithin,
            Double tipMultiple,
            Span tipWindow,
            Span releaseGuard,
            Span maxReturnAdvice) {
        /** Checks. */
        public Fleet {
            fronts = Check.within(Check.or(fronts, 1), 1, 1_000_000, "fronts");
            maxAttempts = Check.within(Check.or(maxAttempts, 4), 1, 100, "maxAttempts");
            probes = Check.or(probes, true);
            drainGrace = Check.or(drainGrace, Span.ms(250));
            coldFrom = Check.within(Check.or(coldFrom, 0.35), 0.01, 1, "coldFrom");
            warmWithin = Check.or(warmWithin, Span.ms(14_000));
            tipMultiple = Check.within(Check.or(tipMultiple, 3.0), 1, 1_000, "tipMultiple");
            tipWindow = Check.or(tipWindow, Span.ms(1_000));
            releaseGuard = Check.or(releaseGuard, Span.ms(300));
            maxReturnAdvice = Check.or(maxReturnAdvice, Span.ms(2_000));
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
            Integer calls, Integer questions, Integer numbers, Integer lookups, Integer connections, Span drain) {
        /** Checks. */
        public Limits {
            calls = Check.within(Check.or(calls, 100_000), 1, 10_000_000, "calls");
            questions = Check.within(Check.or(questions, 2 * calls), 1, 20_000_000, "questions");
            numbers = Check.within(Check.or(numbers, 100_000), 1, 10_000_000, "numbers");
            lookups = Check.within(Check.or(lookups, 10_000), 1, 1_000_000, "lookups");
            connections = Check.within(Check.or(connections, 1_000), 1, 100_000, "connections");
            drain = Check.or(drain, Span.ms(8_000));
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
            Span delayOnset,
            Span delayCeiling,
            Double memoryOnset,
            Double memoryCeiling,
            Double tableOnset,
            Span forecast,
            Double fairMultiple,
            Integer queue) {
        /** Checks and defaults. */
        public Overload {
            delayOnset = Check.or(delayOnset, Span.ms(20));
            delayCeiling = Check.or(delayCeiling, Span.ms(100));
            memoryOnset = Check.or(memoryOnset, 0.75);
            memoryCeiling = Check.or(memoryCeiling, 0.92);
            tableOnset = Check.or(tableOnset, 0.8);
            forecast = Check.or(forecast, Span.ms(30_000));
            fairMultiple = Check.or(fairMultiple, 3.0);
            queue = Check.within(Check.or(queue, 4_096), 16, 1 << 20, "queue");
            levels(delayOnset, delayCeiling, memoryOnset, memoryCeiling, tableOnset, forecast, fairMultiple, 0);
        }

        private static OverloadSettings levels(
                Span delayOnset,
                Span delayCeiling,
                double memoryOnset,
                double memoryCeiling,
                double tableOnset,
                Span forecast,
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
    public OverloadSettings levels() {
        return Overload.levels(
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
    public Ranks ranks() {
        return new Ranks(classes.stream().map(ClassOfCall::worth).toList());
    }

    /** Time between beats of the front's loop, in milliseconds: a quarter of the module's own. */
    public static final double BEAT = 5;
    /** Answers later than this after the caller's time do not count; also the core's own last moment. */
    public static final double SLACK = 20;

    /** What the module is given. */
    public Settings forModule(long seed) {
        List<CallClass> forModule = new ArrayList<>();
        classes.forEach(c -> forModule.add(c.forModule()));
        return new Settings(
                seed,
                OptionalInt.of(fleet.fronts()),
                forModule,
                OptionalInt.empty(),
                OptionalInt.of(fleet.maxAttempts()),
                Optional.of(true),
                Optional.of(fleet.probes()),
                Optional.of(false),
                Optional.of(false),
                OptionalDouble.of(2 * BEAT),
                OptionalDouble.of(SLACK),
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
    public NumberPlan plan() {
        List<NumberPlan.Entry> entries = new ArrayList<>();
        for (NumberRange range : numbers) {
            int place = 0;
            while (!classes.get(place).name().equals(range.of())) {
                place++;
            }
            entries.add(
                    new NumberPlan.Entry(range.prefix(), place, range.patience().ms()));
        }
        return new NumberPlan(entries);
    }
}
