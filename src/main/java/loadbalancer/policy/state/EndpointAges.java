package loadbalancer.policy.state;

import java.util.LinkedHashMap;
import java.util.Map;
import loadbalancer.EndpointDescriptor;

/**
 * When the listed processes started, as far as that is believed, on the policy's clock. An entry
 * outlasts the listing: an endpoint that a list left out for a while is as old as before when it is
 * listed again.
 */
public final class EndpointAges {
    /** Start time of a process that has run for longer than any warm-up. */
    public static final long LONG_AGO_MICROS = Long.MIN_VALUE;

    /** Bound on memory; beyond it the entry unused for longest is dropped, and would be new. */
    private static final int MAX_ENTRIES = 16_384;

    /** Upper bound of the protocol on how late a watch event may arrive. */
    private static final long MAX_EVENT_DELAY_MICROS = 6_000_000;

    private record Age(long launchedAtMicros, long startedAtMicros) {}

    private final Map<String, Age> ageById =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Age> eldest) {
                    return size() > MAX_ENTRIES;
                }
            };

    /**
     * Whether an entry names another process than the known one. A different launch time is another
     * process even if it is earlier, since the machine's clock may have been set back; 0 stands for
     * the known process after a long run.
     */
    public static boolean isOtherProcess(EndpointDescriptor known, EndpointDescriptor listed) {
        return listed.launchedAtMicros() > 0
                && listed.launchedAtMicros() != known.launchedAtMicros();
    }

    /**
     * When the listed process started, in microseconds of the policy's clock. A process that is new
     * to this balancer started when the event arrived, or earlier by the event's possible delay:
     * the machine's clock is believed within that bound and for at most half of the warm-up. Beyond
     * it a clock is wrong, and the process counts as started now.
     *
     * @param isFirstList whether it comes with the first list since this balancer started; the
     *     process need not be new then, and the machine's clock is believed
     * @param warmUpMicros length of the warm-up
     */
    public long startedAt(
            EndpointDescriptor listed, long nowMicros, boolean isFirstList, long warmUpMicros) {
        if (listed.launchedAtMicros() <= 0) {
            return LONG_AGO_MICROS;
        }
        Age age = ageById.get(listed.id());
        if (age == null || age.launchedAtMicros() != listed.launchedAtMicros()) {
            long startedAtMicros =
                    isFirstList
                            ? Math.min(nowMicros, listed.launchedAtMicros())
                            : nowMicros
                                    - believedAge(
                                            nowMicros - listed.launchedAtMicros(), warmUpMicros);
            age = new Age(listed.launchedAtMicros(), startedAtMicros);
            ageById.put(listed.id(), age);
        }
        return age.startedAtMicros();
    }

    private static long believedAge(long claimedMicros, long warmUpMicros) {
        return claimedMicros < 0 || claimedMicros > MAX_EVENT_DELAY_MICROS
                ? 0
                : Math.min(claimedMicros, warmUpMicros / 2);
    }
}
