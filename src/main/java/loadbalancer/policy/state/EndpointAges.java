package loadbalancer.policy.state;

import java.util.LinkedHashMap;
import java.util.Map;
import loadbalancer.EndpointDescriptor;

/**
 * When the listed processes began, as far as may be believed, on the module's clock. It outlasts a
 * listing: an upstream that a list left out for a while is as old as before when it is named again.
 */
public final class EndpointAges {
    /** No upstream is cold that long. */
    public static final long LONG_AGO = Long.MIN_VALUE;

    /** Beyond this the one that was not named for longest is forgotten, and would count as new. */
    private static final int MOST = 16_384;

    /** By the protocol a change counts as told so long after it was made, at the latest. */
    private static final long LATEST_NEWS = 6_000_000;

    private record Age(long launchedAt, long startedAt) {}

    private final Map<String, Age> byId =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Age> eldest) {
                    return size() > MOST;
                }
            };

    /**
     * Times of start tell processes apart, and not which came first: a machine's clock may have
     * stepped back in between. 0 means that the one that is there has been there for long by now.
     */
    public static boolean isAnother(EndpointDescriptor known, EndpointDescriptor named) {
        return named.launchedAtMicros() > 0 && named.launchedAtMicros() != known.launchedAtMicros();
    }

    /**
     * When the named process began. One that is news began when it was heard of, or earlier by as
     * much as news may be late: the clocks' word is taken within that bound, and for half of the
     * ramp at most; beyond it some clock is off, and it counts from now.
     *
     * @param first whether it comes with the first word of discovery since this process's start,
     *     which need not be news: then its age is as the clocks have it, since nothing else is
     *     known of it
     * @param coldTime how long the ramp is
     */
    public long startedAt(EndpointDescriptor named, long now, boolean first, long coldTime) {
        if (named.launchedAtMicros() <= 0) {
            return LONG_AGO;
        }
        Age age = byId.get(named.id());
        if (age == null || age.launchedAt() != named.launchedAtMicros()) {
            age =
                    new Age(
                            named.launchedAtMicros(),
                            first
                                    ? Math.min(now, named.launchedAtMicros())
                                    : now - credit(now - named.launchedAtMicros(), coldTime));
            byId.put(named.id(), age);
        }
        return age.startedAt();
    }

    private static long credit(long claimed, long coldTime) {
        return claimed < 0 || claimed > LATEST_NEWS ? 0 : Math.min(claimed, coldTime / 2);
    }
}
