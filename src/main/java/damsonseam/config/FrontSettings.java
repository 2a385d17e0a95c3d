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
 * All settings of a front, read from YAML; the component names are the keys. The settings describe the surroundings and
 * the callers' requirements. How calls are decided is up to the routing policy, which has no settings of its own.
 *
 * @param front the identity of this front
 * @param enumSettings the ENUM interface towards callers, key {@code enum}
 * @param classes the call classes
 * @param numbers the number ranges and their call classes; the longest prefix wins
 * @param upstream the authoritative name servers for lookups
 * @param directory the pool directory
 * @param trunks the trunk groups towards the calculators
 * @param fleet the settings common to all fronts, including the limits of the five rules
 * @param limits the bounds of tables and queues
 * @param overload the thresholds of the front's overload control
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

    /** Checks the required sections and the references between sections. */
    public FrontSettings {
        Preconditions.requirePresent(front, "front");
        Preconditions.requirePresent(enumSettings, "enum");
        Preconditions.requirePresent(upstream, "upstream");
        Preconditions.requirePresent(directory, "directory");
        Preconditions.require(classes != null && !classes.isEmpty(), "classes: expected at least one class");
        Preconditions.require(numbers != null && !numbers.isEmpty(), "numbers: expected at least one prefix");
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
     * The identity of a front.
     *
     * @param name the name in logs and at the directory
     * @param pointCode the signalling point code, 1 to 16383
     * @param seed the seed of random decisions, or null for a random one
     */
    public record Identity(String name, Integer pointCode, Long seed) {
        /** Checks the values. */
        public Identity {
            Preconditions.requirePresent(name, "name");
            Preconditions.requireInRange(Preconditions.requirePresent(pointCode, "pointCode"), 1, 16_383, "pointCode");
        }
    }

    /**
     * The ENUM interface towards callers.
     *
     * @param listen the address and port for DNS over UDP and TCP
     * @param suffix the domain under which numbers are queried
     * @param keepAnswers how long an answer is kept for retransmitted queries
     * @param wayBack the time reserved at the end of a caller's patience for the network delay of the answer
     */
    public record EnumSettings(Endpoint listen, String suffix, TimeSpan keepAnswers, TimeSpan wayBack) {
        /** Checks the values and applies defaults. */
        public EnumSettings {
            Preconditions.requirePresent(listen, "listen");
            E164Name.parseSuffix(Preconditions.requirePresent(suffix, "suffix"));
            keepAnswers = Preconditions.orDefault(keepAnswers, TimeSpan.ms(3_000));
            wayBack = Preconditions.orDefault(wayBack, TimeSpan.ms(50));
        }
    }

    /**
     * A call class.
     *
     * @param name the name, referenced by number ranges and used in logs
     * @param aim the time within which callers want a call to be established
     * @param deadline the time after which callers abandon a call for good
     * @param worth the worth of a call established within its aim
     * @param lateShare the share of the worth that remains for a call established later
     */
    public record CallClassSettings(String name, TimeSpan aim, TimeSpan deadline, Double worth, Double lateShare) {
        /** Checks the values and applies defaults. */
        public CallClassSettings {
            Preconditions.requirePresent(name, "name");
            Preconditions.require(Preconditions.requirePresent(aim, "aim").ms() > 0, "aim: expected more than 0 ms");
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
     * A range of numbers that belong to one call class.
     *
     * @param prefix the leading digits of the numbers; empty for all numbers without another match
     * @param callClass the name of the call class, key {@code class}
     * @param patience how long a caller waits for the answer to one call
     */
    public record NumberRange(
            String prefix,
            @com.fasterxml.jackson.annotation.JsonProperty("class") String callClass,
            TimeSpan patience) {
        /** Checks the values. */
        public NumberRange {
            Preconditions.requirePresent(prefix, "prefix");
            Preconditions.require(
                    prefix.chars().allMatch(c -> c >= '0' && c <= '9'), "prefix: expected digits, found " + prefix);
            Preconditions.requirePresent(callClass, "class");
            Preconditions.require(
                    Preconditions.requirePresent(patience, "patience").ms() >= 100,
                    "patience: expected at least 100 ms");
        }
    }

    /**
     * The authoritative name servers for lookups.
     *
     * @param authorities the name servers of the zone
     * @param suffix the zone's domain, by default that of {@code enum}
     * @param sockets the number of UDP sockets, from which each query picks one at random
     * @param tries the maximum number of queries sent for one lookup
     * @param staleAfter the time without an answer after which a stale cache entry is used
     * @param staleFor how long cache entries are kept after they expire
     */
    public record Upstream(
            List<Endpoint> authorities,
            String suffix,
            Integer sockets,
            Integer tries,
            TimeSpan staleAfter,
            TimeSpan staleFor) {
        /** Checks the values and applies defaults. */
        public Upstream {
            Preconditions.require(authorities != null && !authorities.isEmpty(), "authorities: expected at least one");
            Preconditions.requireInRange(authorities.size(), 1, 16, "authorities");
            sockets = Preconditions.requireInRange(Preconditions.orDefault(sockets, 8), 1, 256, "sockets");
            tries = Preconditions.requireInRange(Preconditions.orDefault(tries, 6), 1, 32, "tries");
            staleAfter = Preconditions.orDefault(staleAfter, TimeSpan.ms(300));
            staleFor = Preconditions.orDefault(staleFor, TimeSpan.ms(86_400_000));
        }
    }

    /**
     * The pool directory.
     *
     * @param address the address of its gRPC service
     */
    public record Directory(Endpoint address) {
        /** Checks the values. */
        public Directory {
            Preconditions.requirePresent(address, "address");
        }
    }

    /**
     * The trunk groups, one towards each calculator. T1, T5 and T17 are the timers of Q.764.
     *
     * @param circuits the number of circuits per group
     * @param probeTimeout the time in which a probe must be answered
     * @param heartbeat the interval of heartbeats, 0 ms for none
     * @param t1 the time after which an unanswered release is repeated
     * @param t5 the time after which a circuit that is still not released is reset
     * @param t17 the time after which an unanswered reset is repeated
     * @param connectTimeout the time in which a connection must be established
     * @param releaseWait how long the RLC of a released attempt is awaited before the guard
     *     {@code fleet.releaseGuard} starts without it; the maximum network delay of a message to a calculator
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
        /** Checks the values and applies defaults. */
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
     * Settings common to all fronts.
     *
     * @param fronts the number of fronts
     * @param maxAttempts the maximum number of set-ups per call
     * @param probes whether calculators may be probed
     * @param drainGrace the time in which set-ups towards a draining or removed server must stop
     * @param coldFrom the share of its full capacity that a cold server has at its start
     * @param warmWithin the time after which a started server has its full capacity
     * @param tipMultiple the load, as a multiple of its current capacity, that overloads a cold server until it fails
     * @param tipWindow the time for which that load must last
     * @param releaseGuard the time after a failed attempt during which the call is not sent again
     * @param maxReturnAdvice the longest time for which refused callers may be advised not to redial
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
        /** Checks the values and applies defaults. */
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
     * Bounds of tables and queues. The table "Bounds" in docs/ARCHITECTURE.md describes what happens at each of them.
     *
     * @param calls the maximum number of open calls, including established ones
     * @param questions the maximum number of queries remembered to recognize retransmissions
     * @param numbers the maximum number of numbers in the lookup cache
     * @param lookups the maximum number of concurrent lookups
     * @param connections the maximum number of callers' TCP connections
     * @param drain how long a shutdown waits for open calls to be answered
     */
    public record Limits(
            Integer calls, Integer questions, Integer numbers, Integer lookups, Integer connections, TimeSpan drain) {
        /** Checks the values and applies defaults. */
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
     * Thresholds of the front's overload control, see docs/OVERLOAD.md.
     *
     * @param delayOnset the queueing delay from which calls of the lowest worth are refused
     * @param delayCeiling the queueing delay from which calls of the highest worth are refused too
     * @param memoryOnset the share of the heap in use after collections from which caches are reduced and then calls
     *     refused
     * @param memoryCeiling the share of the heap in use from which calls of the highest worth are refused too
     * @param tableOnset the share of the call table, lookups and open files that is open to calls of any worth
     * @param forecast how far ahead memory use is extrapolated
     * @param fairMultiple the multiple of its fair share above which a sender's calls are refused first
     * @param queue the maximum number of calls of each worth that wait for the event loop
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
        /** Checks the values and applies defaults. */
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
                double maxRetryAfterMs) {
            return new OverloadSettings(
                    delayOnset.ms(),
                    delayCeiling.ms(),
                    memoryOnset,
                    memoryCeiling,
                    tableOnset,
                    forecast.ms(),
                    fairMultiple,
                    maxRetryAfterMs);
        }
    }

    /** Returns the thresholds of the front's overload control. */
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

    /** Returns the ranks of the call classes by worth. */
    public WorthRanks ranks() {
        return new WorthRanks(classes.stream().map(CallClassSettings::worth).toList());
    }

    /** Interval of the event loop's ticks: a quarter of the routing policy's sweep interval. */
    public static final double TICK_MS = 5;
    /**
     * Answers later than this after the end of a caller's patience do not count. Also how long before that end the core
     * itself fails a call that is still unanswered.
     */
    public static final double ANSWER_SLACK_MS = 20;

    /** Returns the settings of the routing policy. */
    public PolicySettings policySettings(long seed) {
        List<CallClass> callClasses = new ArrayList<>();
        classes.forEach(c -> callClasses.add(c.toCallClass()));
        return new PolicySettings(
                seed,
                OptionalInt.of(fleet.fronts()),
                callClasses,
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

    /** Returns the number plan. */
    public NumberPlan numberPlan() {
        List<NumberPlan.Entry> entries = new ArrayList<>();
        for (NumberRange range : numbers) {
            int classIndex = 0;
            while (!classes.get(classIndex).name().equals(range.callClass())) {
                classIndex++;
            }
            entries.add(new NumberPlan.Entry(
                    range.prefix(), classIndex, range.patience().ms()));
        }
        return new NumberPlan(entries);
    }
}
