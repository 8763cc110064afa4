package loadbalancer;

import java.util.List;

/**
 * The whole interface of the decision module: events come in as method calls, decisions go out
 * through {@link Actions}. {@link ReweightingLoadBalancer} is the implementation.
 *
 * <p>All times are microseconds of one clock that only advances; {@code now} is passed in with each
 * event and durations are microseconds too. An instance is not safe for use by several threads at
 * once: call it from one thread, or guard it by one lock. It never blocks, and it calls {@link
 * Actions} only from within an event.
 */
public interface LoadBalancer {

    /** Brings up the instance: sets its first timer. Call it once, before any other event. */
    void start(long now);

    /**
     * New settings hold for requests that come from now on; open ones keep what they came under.
     * Refused as a whole with the field's name, and the old ones then stay.
     */
    void settings(long now, Settings settings);

    /**
     * So many requests may wait for an upstream at a time. Each of them holds up its client's
     * connection; of more than that the least worth are refused at once.
     */
    void mayHold(int most);

    /** The list of upstreams, or changes of it, as discovery told it. */
    void upstreams(long now, ListKind kind, List<Upstream> entries);

    /** A client's request has arrived; one final answer is owed from here on. */
    void request(long now, Request request);

    /**
     * The beginning of a request whose body is still on its way. It takes up no upstream and no
     * time before {@link #received}, and what was passed on of it can't be sent again.
     */
    void arriving(long now, Request request);

    /** All of such a request has come: from now on its time counts, and upstreams work on it. */
    void received(long now, String request);

    /** The end of one attempt. */
    void outcome(long now, AttemptEnd end);

    /** A streamed answer has begun; the attempt belongs to the client from now on. */
    void opened(long now, String request, int attempt);

    /** The client has left; nothing is owed for this request any more. */
    void clientGone(long now, String request);

    /** The result of a probe; {@code load} is null if none came along. */
    void probed(long now, String upstream, Outcome outcome, LoadReport load);

    /** A timer that was set through {@link Actions#timer} is due. */
    void timer(long now, String token);

    /** A message from another balancer of the tier. */
    void peerMessage(long now, int from, byte[] body);

    /**
     * How many of the listed upstreams get nothing at present: they drain, or are ejected and not
     * let back in for want of others. Only looks; no event.
     */
    int skipped(long now);

    /**
     * What an instance before this one, or beside it, had learnt {@code age} ago. It is believed
     * for what its age leaves of it, and only where this instance has learnt nothing itself. The
     * list was last heard of {@code listAge} ago: upstreams that nobody has named since and that
     * have not answered get little.
     */
    default void recall(long now, long age, long listAge, Memory memory) {}

    /**
     * What there is to be recalled, with {@code most} upstreams from place {@code from}. Only
     * looks.
     */
    default Memory memory(long now, int from, int most) {
        return Memory.NONE;
    }

    /**
     * Whether a second process serves beside this one: what a cold upstream may get is for both
     * together.
     */
    default void beside(long now, boolean another) {}

    /** Where the decisions go. Every call takes effect at the time of the event being handled. */
    interface Actions {
        /** Starts an attempt; {@code timeout} 0 lets it run until the client gives up. */
        void send(String request, String upstream, long timeout);

        /**
         * Final answer: refused, a further try is harmless. {@code retryAfter} 0 gives no advice.
         */
        void refuse(String request, long retryAfter);

        /** Final answer: failed, nothing promised. */
        void fail(String request);

        /** Stops waiting for an attempt. */
        void cancel(String request, int attempt);

        /** Asks for a call of {@link LoadBalancer#timer} after {@code delay}. */
        void timer(String token, long delay);

        /** Asks an upstream for its load. */
        void probe(String upstream);

        /** Closes idle connections to an upstream. */
        void closeIdle(String upstream);

        /** Subscribes to changes of the list, or ends that. */
        void watch(boolean on);

        /** Asks for the complete list once. */
        void fetch();

        /** Sends a message to one peer, or to all if {@code peer} is negative. */
        void tell(int peer, byte[] body);

        /** A line for the operators. */
        void log(String text);
    }

    /**
     * What a list of upstreams is: changes, the whole, the whole as held before a restart, or a
     * failed call.
     */
    enum ListKind {
        CHANGES,
        COMPLETE,
        RESTORED,
        UNAVAILABLE
    }

    /** State of an upstream in the list. */
    enum State {
        READY,
        DRAINING,
        GONE
    }

    /** How an attempt ended. */
    enum Outcome {
        /** Served. */
        OK(false),
        /** An error; it may have run. */
        ERROR(false),
        /** Rejected unseen. */
        FULL(true),
        /** No answer in time; it may have run or still run. */
        TIMEOUT(false),
        /** No connection could be had. */
        CONNECT_FAILED(true),
        /** Broken while outstanding; it may have run. */
        RESET(false),
        /** Called off; it may have run. */
        CANCELLED(false),
        /** Never sent. */
        MOOT(true);

        /** Whether this outcome proves that the attempt never ran. */
        public final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }
    }

    /** Whether a request may run more than once. */
    enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /**
     * Which upstreams discard the repeat of a keyed request: all, those of one zone, or those of
     * one cell.
     */
    enum Scope {
        ALL,
        ZONE,
        CELL
    }

    /** How load reports come: within answers, by probes alone, or not at all. */
    enum Reports {
        IN_ANSWERS,
        BY_PROBE,
        NONE
    }

    /** What an upstream's rating means. */
    enum Ratings {
        NONE,
        NOMINAL,
        ROUGH,
        LIVE
    }

    /** One upstream as the list names it; {@code launchedAt} 0 means long ago. */
    record Upstream(
            String id, int zone, int kind, int cell, State state, double rating, long launchedAt) {}

    /** A request; {@code expectedWork} is 0 without a hint, {@code key} null without a key. */
    record Request(
            String id,
            int classIndex,
            int tenant,
            String key,
            long expectedWork,
            long timeLeft,
            boolean write,
            boolean retry) {
        /** The same with so much time left. */
        public Request within(long left) {
            return new Request(id, classIndex, tenant, key, expectedWork, left, write, retry);
        }
    }

    /** The end of an attempt; {@code concluded} says that the request needs no further answer. */
    record AttemptEnd(
            String request,
            int attempt,
            String upstream,
            Outcome outcome,
            long took,
            boolean concluded,
            LoadReport load) {}

    /** A load report; a value that the upstream does not report is NaN. Times are microseconds. */
    record LoadReport(
            double utilisation,
            double active,
            double waiting,
            double serviceTime,
            double servedPerSecond,
            double errorsPerSecond) {}

    /**
     * A class of requests. {@code aimStretch} lengthens the aim by that multiple of the request's
     * own work.
     */
    record RequestClass(
            String name,
            long aim,
            double aimStretch,
            long giveUp,
            double worth,
            double lateWorth,
            Effect effect,
            Scope scope,
            long memorySpan,
            boolean stream) {}

    /** A tenant: its allowance in requests a second across all balancers, 0 for none stated. */
    record Tenant(double allowance, double share) {}

    /** What the balancer may do. */
    record Limits(
            int maxAttempts,
            boolean secondCopies,
            boolean probes,
            boolean cancel,
            boolean peers,
            int maxOpen,
            boolean retryAfter,
            long maxRetryAfter,
            long connectTimeout,
            long connectIdle,
            int streamsPerConnection) {}

    /**
     * What was learnt of one upstream. Times are microseconds.
     *
     * @param launchedAt of the process that this was learnt of; another one at the same id is a
     *     stranger
     * @param quiet since its last answer, -1 if it never gave one
     * @param ejectedFor for how much longer it gets nothing
     */
    record Known(
            String id,
            long launchedAt,
            long quiet,
            double logWeight,
            double limit,
            double least,
            double took,
            double pace,
            double errors,
            long ejectedFor,
            long ejection,
            double doneRate,
            double tokens,
            int inFlight) {}

    /**
     * What was learnt of a class: the usual time of an answer, and after how long it was refused.
     */
    record ClassMemory(String name, double took, double refusedAfter) {}

    /** What was learnt over all, and of upstreams. */
    record Memory(
            double took,
            double pace,
            double unitTook,
            double warmRate,
            double cost,
            double requestRate,
            List<ClassMemory> classes,
            List<Known> upstreams) {
        /** Nothing. */
        public static final Memory NONE = new Memory(0, 0, 0, 0, 0, 0, List.of(), List.of());
    }

    /** The figures of the rules. */
    record RuleFigures(
            long answerSlack,
            long askWithin,
            double startCapacity,
            long coldTime,
            long drainGrace,
            double fallMultiple,
            long fallTime) {}

    /** Prices in points of the result, for each unit of what they are charged on. */
    record Prices(
            double crossZone,
            double waste,
            double probe,
            double peer,
            double lateFail,
            double handshake) {}

    /** All that an instance is told at its start. */
    record Settings(
            int zone,
            int zones,
            int position,
            int groupSize,
            List<RequestClass> classes,
            List<Tenant> tenants,
            double overShareWorth,
            boolean worthByWork,
            Limits limits,
            RuleFigures rules,
            Prices prices,
            Reports reports,
            Ratings ratings,
            boolean askForList,
            boolean warmKeys,
            long tick) {
        /**
         * How long before a limit in time it counts as reached, since timers are coarse: three
         * ticks.
         */
        public long margin() {
            return 3 * Math.max(tick, 1_000);
        }

        /** The same for a balancer with no others beside it. */
        public Settings alone() {
            return new Settings(
                    zone,
                    zones,
                    0,
                    1,
                    classes,
                    tenants,
                    overShareWorth,
                    worthByWork,
                    limits,
                    rules,
                    prices,
                    reports,
                    ratings,
                    askForList,
                    warmKeys,
                    tick);
        }
    }
}
