package loadbalancer.policy.state;

import java.util.LinkedHashMap;
import java.util.Map;
import loadbalancer.EndpointDescriptor;

/**
 * Start times of the listed processes on the policy's clock, as far as their launch times are
 * trusted. An entry outlasts the listing: an endpoint that is missing from a list for a while keeps
 * its age when it is listed again.
 */
public final class EndpointAges {
    /** Start time of a process that has run for longer than any warm-up. */
    public static final long LONG_AGO_MICROS = Long.MIN_VALUE;

    /**
     * Bounds the memory; beyond it, the least recently used entry is dropped, and its process would
     * count as new.
     */
    private static final int MAX_ENTRIES = 16_384;

    /** Upper bound, set by the protocol, for the delay of a watch event. */
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
     * Returns whether an entry refers to a different process than the known one. A different launch
     * time means a different process even if it is earlier, because the machine's clock may have
     * been set back. A launch time of 0 stands for the known process after a long run.
     */
    public static boolean isDifferentProcess(EndpointDescriptor known, EndpointDescriptor listed) {
        return listed.launchedAtMicros() > 0
                && listed.launchedAtMicros() != known.launchedAtMicros();
    }

    /**
     * Returns when the listed process started, in microseconds of the policy's clock. A process
     * that is new to this balancer started when the watch event arrived, or earlier by the possible
     * delay of the event: the launch time of the machine's clock is trusted within that bound, for
     * at most half of the warm-up. A launch time outside the bound means a wrong clock, and the
     * process counts as started now.
     *
     * @param isFirstList whether the entry belongs to the first list since this balancer started;
     *     the process is not necessarily new then, and its launch time is trusted
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
                                    - trustedAgeMicros(
                                            nowMicros - listed.launchedAtMicros(), warmUpMicros);
            age = new Age(listed.launchedAtMicros(), startedAtMicros);
            ageById.put(listed.id(), age);
        }
        return age.startedAtMicros();
    }

    private static long trustedAgeMicros(long reportedAgeMicros, long warmUpMicros) {
        return reportedAgeMicros < 0 || reportedAgeMicros > MAX_EVENT_DELAY_MICROS
                ? 0
                : Math.min(reportedAgeMicros, warmUpMicros / 2);
    }
}
