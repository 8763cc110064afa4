package loadbalancer.proxy;

import io.netty.buffer.ByteBuf;
import loadbalancer.AttemptOutcome;

/**
 * The side towards upstreams: connections, and the attempts on them, in whatever protocol they
 * speak.
 */
public interface UpstreamTransport {
    /**
     * Starts an attempt. The listener is never told of its end from within this call, so that the
     * caller has the attempt in hand by then; but it may be asked whether to begin, and told that
     * all is written.
     */
    Attempt start(String upstream, RequestHead head, RequestBody body, Listener listener);

    /** Takes over a list or changes of it. */
    void apply(EndpointListUpdate list);

    /** How many upstreams the list has. */
    int listed();

    /** Closes the connections to an upstream that carry nothing. */
    void closeIdle(String upstream);

    /**
     * How long to wait for a connection, and after how much idling an upstream closes one;
     * microseconds.
     */
    void times(long connectTimeout, long connectIdle);

    /** From now on there may be so many connections. */
    void limit(int connections);

    /** One request on its way to an upstream. */
    interface Attempt {
        /**
         * Stops waiting. Nothing more goes to the upstream: a further attempt is no second copy.
         */
        void abandon();
    }

    /** Gets the end of an attempt, exactly once. */
    interface Listener {
        /** No time is told. */
        long UNTOLD = -1;

        /**
         * Asked once, right before the first byte goes out: whether the attempt may still begin.
         * Dialling, held-up bodies and a loop that lags take time in which a client leaves, a
         * deadline passes or the window for repeats closes. If not, nothing is written and the
         * attempt never ran.
         */
        default boolean mayBegin() {
            return true;
        }

        /**
         * Asked right before the head goes out, after {@link #mayBegin}: for how many milliseconds
         * the attempt will be waited for. A dial may have taken much of what was left when it was
         * started. {@link #UNTOLD} where the upstream is not to be told.
         */
        default long timeLeftMillis() {
            return UNTOLD;
        }

        /**
         * The first byte goes out now, and announces that many milliseconds to the endpoint; {@link
         * #UNTOLD} for none.
         */
        default void beginning(long announcedMillis) {}

        /** It is over; {@code answer} is null if none came whole. */
        void ended(AttemptOutcome outcome, Answer answer);

        /** The last byte of the request was written. */
        default void written() {}

        /** The head of the answer has come. */
        default void began() {}

        /**
         * A good answer has begun that is too large to be held; {@code length} is -1 if it is not
         * told. The rest goes where this says; null if nobody wants it.
         */
        default ResponseStream opened(long length) {
            return null;
        }
    }

    /**
     * A whole answer.
     *
     * @param load the report of the upstream's load that came with it, as text; null if there was
     *     none
     * @param body empty if it was passed on already
     */
    record Answer(String load, ByteBuf body) {}
}
