package loadbalancer.faults.process.plan;

import java.util.Locale;

/**
 * One fault.
 *
 * @param atMs when, from the moment at which all serve
 * @param who the balancer, or the upstream, from 0; of no meaning where all are meant
 * @param other the upstream or balancer at the other end of a link
 * @param forMs for how long
 * @param size how much, from 0 to 1
 */
public record Step(long atMs, Kind kind, int who, int other, long forMs, double size) {
    /** Whom a fault is about. */
    public enum Whom {
        BALANCER,
        LINK,
        UPSTREAM,
        DISCOVERY,
        MEMBERS
    }

    /**
     * What goes wrong, how often it is drawn, and whether the process must be {@code Skewed} for
     * it.
     */
    public enum Kind {
        /** SIGKILL; the same name starts again after the time. */
        KILL(Whom.BALANCER, 3, false),
        /** SIGSTOP, and SIGCONT after the time. */
        STOP(Whom.BALANCER, 3, false),
        /** A second process takes over; SIGTERM to the first. */
        HAND_OVER(Whom.BALANCER, 3, false),
        /** SIGTERM with no successor, and a start. */
        RESTART(Whom.BALANCER, 2, false),
        /** SIGHUP with other figures, and back after the time. */
        RELOAD(Whom.BALANCER, 2, false),
        /** SIGHUP with half a file, and back. */
        RELOAD_BROKEN(Whom.BALANCER, 2, false),
        /** The wall clock is off by up to an hour, back or forth. */
        CLOCK(Whom.BALANCER, 2, true),
        /**
         * This machine's wall clock steps by up to an hour, back or forth, and back again after the
         * time.
         */
        WALL_CLOCK(Whom.BALANCER, 3, false),
        /** The wall clocks of all machines do. */
        ALL_WALL_CLOCKS(Whom.MEMBERS, 2, false),
        /** Accept fails, with one errno of those that pass. */
        ACCEPT_FAILS(Whom.BALANCER, 3, false),
        /** No socket can be made. */
        SOCKET_FAILS(Whom.BALANCER, 2, false),
        /** Connecting fails at once. */
        CONNECT_FAILS(Whom.BALANCER, 2, false),
        /** Connections that it opened break, at a read or a write. */
        OWN_CONNECTIONS_BREAK(Whom.BALANCER, 2, false),
        /** Reads and writes come short, and waits are interrupted. */
        SHORT_IO(Whom.BALANCER, 2, false),
        /** It is held up for 0.15 s between looking at its clock and writing. */
        HELD_UP(Whom.BALANCER, 2, false),
        /** Writing, forcing and renaming files fails. */
        FILES_FAIL(Whom.BALANCER, 2, false),
        /** Some SIGHUP in a row, with other figures and back. */
        RELOADS_IN_A_ROW(Whom.BALANCER, 2, false),
        /** Clients leave soon after they have asked, and others stop half way. */
        CLIENTS_LEAVE(Whom.MEMBERS, 3, false),
        /** The disk for what is known is full. */
        DISK_FULL(Whom.BALANCER, 1, true),
        /** The same refuses altogether. */
        DISK_REFUSES(Whom.BALANCER, 1, true),
        /** A successor that crashes at its start. */
        CRASHING_SUCCESSOR(Whom.BALANCER, 1, true),
        /** The process ends in the middle of a request. */
        CRASH(Whom.BALANCER, 1, true),
        /** It keeps memory with each request. */
        LEAK(Whom.BALANCER, 1, true),
        /** Nothing passes between a balancer and an upstream. */
        CUT(Whom.LINK, 2, false),
        /** Requests don't reach the upstream. */
        CUT_OUT(Whom.LINK, 1, false),
        /** Answers don't come back. */
        CUT_BACK(Whom.LINK, 1, false),
        /** Bytes wait on their way, and come after the time. */
        HOLD(Whom.LINK, 2, false),
        /** The link is slow. */
        SLOW(Whom.LINK, 2, false),
        /** All its connections are reset. */
        RESET(Whom.LINK, 2, false),
        /** It refuses connections, and resets those that are there. */
        REFUSE(Whom.LINK, 2, false),
        /** A balancer and half of the upstreams can't reach each other. */
        CUT_HALF(Whom.BALANCER, 2, false),
        /** A balancer can't reach discovery. */
        CUT_DISCOVERY(Whom.BALANCER, 2, false),
        /** An upstream ends and starts again, cold. */
        UPSTREAM_DIES(Whom.UPSTREAM, 3, false),
        /** It is listed as draining, and as ready again. */
        UPSTREAM_DRAINS(Whom.UPSTREAM, 3, false),
        /** It leaves the list, and comes back. */
        UPSTREAM_LEAVES(Whom.UPSTREAM, 2, false),
        /** It gets slower by up to four times. */
        UPSTREAM_SLOWS(Whom.UPSTREAM, 2, false),
        /** One in so many of its answers is an error. */
        UPSTREAM_FAILS(Whom.UPSTREAM, 2, false),
        /** Watches end, and calls get 503. */
        DISCOVERY_DOWN(Whom.DISCOVERY, 2, false),
        /** Changes are told late. */
        DISCOVERY_LATE(Whom.DISCOVERY, 1, false),
        /** An older list is told again. */
        DISCOVERY_STALE(Whom.DISCOVERY, 1, false),
        /** Half of the members from the other half: no datagram passes. */
        SPLIT(Whom.MEMBERS, 2, false),
        /** Datagrams are lost, doubled, late and spoilt, each with that chance. */
        STORM(Whom.MEMBERS, 2, false),
        /** A member alone from all others. */
        ALONE(Whom.BALANCER, 1, false),
        /** SIGTERM with a successor, then SIGHUP and SIGTERM in series. */
        HAND_OVER_SIGNALS(Whom.BALANCER, 1, false),
        /** SIGTERM with no successor, then SIGHUP and SIGTERM in series, and a start. */
        RESTART_SIGNALS(Whom.BALANCER, 1, false),
        /** Hundreds of connections that say nothing, half a head, or half a body. */
        CROWD(Whom.BALANCER, 1, false);

        final Whom whom;
        final int weight;
        final boolean skewed;

        Kind(Whom whom, int weight, boolean skewed) {
            this.whom = whom;
            this.weight = weight;
            this.skewed = skewed;
        }

        /** Whether the process must be one that can be put out of order. */
        public boolean skewed() {
            return skewed;
        }

        /** Whom it is about. */
        public Whom whom() {
            return whom;
        }
    }

    /** As a line of a plan. */
    String line() {
        return String.format(
                Locale.ROOT,
                "%d %s who=%d other=%d for=%d size=%.3f",
                atMs,
                kind,
                who,
                other,
                forMs,
                size);
    }

    /** From such a line. */
    static Step of(String line) throws BadPlan {
        try {
            String[] words = line.strip().split("\\s+");
            return new Step(
                    Long.parseLong(words[0]),
                    Kind.valueOf(words[1]),
                    Integer.parseInt(value(words[2], "who=")),
                    Integer.parseInt(value(words[3], "other=")),
                    Long.parseLong(value(words[4], "for=")),
                    Double.parseDouble(value(words[5], "size=")));
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
            throw new BadPlan("not a step: " + line);
        }
    }

    static String value(String word, String name) {
        if (!word.startsWith(name)) {
            throw new IllegalArgumentException(word);
        }
        return word.substring(name.length());
    }
}
