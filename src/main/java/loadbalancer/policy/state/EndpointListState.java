package loadbalancer.policy.state;

import loadbalancer.EndpointDescriptor;

/** What the list keeps of an upstream. */
public final class EndpointListState {
    /** As last named. */
    public EndpointDescriptor entry;

    /** When its process began, as {@link EndpointAges} has it. */
    public long startedAt = EndpointAges.LONG_AGO;

    /** In that it still is there, from 1 to 0, until discovery or it itself has said so. */
    public double trust = 1;

    /** What the list keeps beside. */
    public static final class Own {
        /** How old the processes are. */
        public final EndpointAges ages = new EndpointAges();

        /** Whether discovery has named the list since the start. */
        public boolean confirmed;

        /** When to subscribe again. */
        public long askAgainAt = Long.MAX_VALUE;
    }
}
