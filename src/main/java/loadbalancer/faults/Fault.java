package loadbalancer.faults;

/**
 * One thing that goes wrong in a scenario.
 *
 * @param atMs when, from the start
 * @param lenMs for how long
 * @param target which upstream or zone
 * @param size how much, from 0 to 1
 */
record Fault(Kind kind, long atMs, long lenMs, int target, double size) {
    /**
     * Two turns, one unread and one to answer, stay under the half second that a late answer has.
     */
    static final long LONGEST_TURN_MS = 240;

    /** What can go wrong, with how often it is drawn. */
    enum Kind {
        /** An upstream's process dies and starts again after the time. */
        DIE(4),
        /** Its machine vanishes silently for the time. */
        VANISH(3),
        /** A whole zone vanishes silently. */
        ZONE_VANISH(2),
        /** A whole zone dies and comes back. */
        ZONE_DIE(2),
        /** Listed as draining, then ended and started again. */
        DRAIN(4),
        /** Replaced by one under another id at the same address. */
        REPLACE(3),
        /** Part of the requests are not answered. */
        HANG(3),
        /** Part of the answers are errors after the work. */
        ERRORS(3),
        /** Part of the requests are turned away unseen. */
        FULL(3),
        /** It breaks between the last byte of the request and the first of the answer. */
        BREAK(3),
        /** It breaks in the middle of the answer. */
        BREAK_MID(2),
        /** Noise in place of an answer. */
        SPOILT(2),
        /** A second answer right behind the first. */
        TWICE(2),
        /** Interim answers in front. */
        INTERIM(1),
        /** What an upstream sends arrives nowhere. */
        MUTE(1),
        /** Discovery is down: watches end, calls are refused. */
        DISCOVERY_DOWN(2),
        /** Discovery says things late. */
        DISCOVERY_LATE(2),
        /** Discovery tells an older list again. */
        DISCOVERY_OLD(2),
        /** Discovery breaks off in the middle of a line. */
        DISCOVERY_TORN(2),
        /** New settings with fewer attempts. */
        RELOAD(3),
        /** A file that can't be taken. */
        RELOAD_BAD(1),
        /** The process is killed and started again. */
        KILL(1),
        /** A successor takes over. */
        HAND_OVER(2),
        /** The wall clock steps. */
        CLOCK_STEP(1),
        /** Clients leave early. */
        LEAVERS(2),
        /** Clients send what is no request. */
        RUDE(2),
        /** Many more requests. */
        BURST(2),
        /** Clients send several requests at once. */
        PIPELINERS(2),
        /** Clients read their answers a little at a time. */
        SLOW_READERS(2),
        /** Clients whose request failed send it again under the same key. */
        REPEATERS(2),
        /** An upstream accepts nobody: those who connect wait. */
        UPSTREAM_QUEUE_FULL(2),
        /** The process accepts nobody. */
        QUEUE_FULL(1),
        /** The process has few descriptors left. */
        DESCRIPTORS(2),
        /** The process gets no memory for buffers. */
        NO_MEMORY(2),
        /** The disk is full on which the process keeps what it knows. */
        DISK_FULL(1),
        /**
         * The process gets less processor time than it needs: each turn of its loop takes up to
         * {@link #LONGEST_TURN_MS} times the size. Drawn apart, so that seeds keep their other
         * faults.
         */
        STARVED(0),

        // Rare moments, drawn apart as well.
        /** Answers with neither length nor chunks, which end with their connection. */
        UNFRAMED(0, 3),
        /** The same, with a reset on the way, at the latest behind the last byte. */
        UNFRAMED_RESET(0, 4),
        /** Half a line, noise or an unasked answer from a connection that rests. */
        NOISE(0, 3),
        /** Connections that rest are closed, also as a request goes out. */
        IDLE_CLOSE(0, 3),
        /** Connections to an upstream come up late, by up to 1.5 s. */
        LATE_DIAL(0, 4),
        /** Clients send a request and close at once. */
        HASTY(0, 3),
        /** Clients rest until the balancer ends them, and send in that very moment. */
        RESTERS(0, 3),
        /** Idle clients fill all descriptors while discovery is down. */
        IDLERS(0, 2),
        /** SIGTERM; the next process is started when the time is over. */
        TERM(0, 3),
        /** Watches fall silent: those that are open, and those opened meanwhile. */
        WATCH_SILENT(0, 3),
        /** Watches are reset in the moment before something changes. */
        WATCH_RESET(0, 2),
        /** Discovery takes calls and answers nothing. */
        DISCOVERY_MUTE(0, 2),
        /** Discovery does not accept: connections never come up. */
        DISCOVERY_FULL(0, 2),
        /** Discovery answers 503. */
        DISCOVERY_BUSY(0, 2),
        /** Discovery's answers are lines that never end. */
        DISCOVERY_ENDLESS(0, 2),
        /** SIGHUP with another address of discovery, which has versions of its own. */
        MOVE(0, 3);

        /** How often it is drawn among the usual kinds, and among the rare moments. */
        final int weight;

        final int rare;

        Kind(int weight) {
            this(weight, 0);
        }

        Kind(int weight, int rare) {
            this.weight = weight;
            this.rare = rare;
        }

        /** Whether it concerns what discovery tells, or when. */
        boolean ofLists() {
            return ordinal() >= IDLERS.ordinal() && this != TERM;
        }
    }
}
