package yewyoke.faults;

/**
 * One thing that goes wrong in a scenario.
 *
 * @param atMs when, from the start
 * @param lenMs for how long
 * @param target which upstream or zone
 * @param size how much, from 0 to 1
 */
record Fault(Kind kind, long atMs, long lenMs, int target, double size) {
    /** Two turns, one unread and one to answer, stay under the half second that a late answer has. */
    static final long LONGEST_TURN_MS = 240;

    /** What can go wrong, with how often it is drawn. */
    enum Kind {
        /** An upstream's process dies and starts again after the time. */ DIE(4),
        /** Its machine vanishes silently for the time. */ VANISH(3),
        /** A whole zone vanishes silently. */ ZONE_VANISH(2),
        /** A whole zone dies and comes back. */ ZONE_DIE(2),
        /** Listed as draining, then ended and started again. */ DRAIN(4),
        /** Replaced by one under another id at the same address. */ REPLACE(3),
        /** Part of the requests are not answered. */ HANG(3),
        /** Part of the answers are errors after the work. */ ERRORS(3),
        /** Part of the requests are turned away unseen. */ FULL(3),
        /** It breaks between the last byte of the request and the first of the answer. */ BREAK(3),
        /** It breaks in the middle of the answer. */ BREAK_MID(2),
        /** Noise in place of an answer. */ SPOILT(2),
        /** A second answer right behind the first. */ TWICE(2),
        /** Interim answers in front. */ INTERIM(1),
        /** What an upstream sends arrives nowhere. */ MUTE(1),
        /** Discovery is down: watches end, calls are refused. */ DISCOVERY_DOWN(2),
        /** Discovery says things late. */ DISCOVERY_LATE(2),
        /** Discovery tells an older list again. */ DISCOVERY_OLD(2),
        /** Discovery breaks off in the middle of a line. */ DISCOVERY_TORN(2),
        /** New settings with fewer attempts. */ RELOAD(3),
        /** A file that can't be taken. */ RELOAD_BAD(1),
        /** The process is killed and started again. */ KILL(1),
        /** A successor takes over. */ HAND_OVER(2),
        /** The wall clock steps. */ CLOCK_STEP(1),
        /** Clients leave early. */ LEAVERS(2),
        /** Clients send what is no request. */ RUDE(2),
        /** Many more requests. */ BURST(2),
        /** Clients send several requests at once. */ PIPELINERS(2),
        /** Clients read their answers a little at a time. */ SLOW_READERS(2),
        /** Clients whose request failed send it again under the same key. */ REPEATERS(2),
        /** An upstream accepts nobody: those who connect wait. */ UPSTREAM_QUEUE_FULL(2),
        /** The process accepts nobody. */ QUEUE_FULL(1),
        /** The process has few descriptors left. */ DESCRIPTORS(2),
        /** The process gets no memory for buffers. */ NO_MEMORY(2),
        /** The disk is full on which the process keeps what it knows. */ DISK_FULL(1),
        /**
         * The process gets less processor time than it needs: each turn of its loop takes up to
         * {@link #LONGEST_TURN_MS} times the size. Drawn apart, so that seeds keep their other faults.
         */
        STARVED(0);

        final int weight;

        Kind(int weight) {
            this.weight = weight;
        }
    }
}
