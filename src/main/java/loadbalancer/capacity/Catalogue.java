package loadbalancer.capacity;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import loadbalancer.capacity.DecisionMeasurement.Dimension;

/** All measurements by name. */
public final class Catalogue {
    private static final int[] UPSTREAMS = {12, 50, 100, 300, 1_000, 3_000, 9_100};
    private static final int[] GROUPS = {3, 12, 50, 150, 430, 860};
    private static final int[] HELD = {1, 4, 16, 64, 256, 1_024, 4_096};
    private static final int SOME_HELD = 64;

    private Catalogue() {}

    /** In the order in which docs/CAPACITY.md speaks of them. */
    public static Map<String, Measurement> all() {
        Map<String, Measurement> all = new LinkedHashMap<>();
        all.put(
                "decision-upstreams",
                new DecisionMeasurement(Dimension.UPSTREAMS, UPSTREAMS, 0, SOME_HELD));
        all.put("decision-group", new DecisionMeasurement(Dimension.GROUP, GROUPS, 0, SOME_HELD));
        all.put("decision-held", new DecisionMeasurement(Dimension.HELD, HELD));
        all.put("first-seconds", new FirstSecondsMeasurement());
        all.put("modules", new ModulesMeasurement());
        all.put("event-loop", new EventLoopMeasurement());
        all.put("memory", new MemoryMeasurement());
        all.put("reading", new ReadingMeasurement());
        all.put(
                "reading-heap-upstreams",
                new ReadingHeapMeasurement("upstreams", 100, 300, 1_000, 3_000, 9_100));
        all.put(
                "reading-heap-tenants",
                new ReadingHeapMeasurement("tenants", 100, 500, 2_000, 10_000, 54_000));
        all.put("snapshot", new SnapshotMeasurement());
        all.put("membership", new MembershipMeasurement());
        all.put(
                "process-upstreams",
                new ProcessMeasurement("upstreams", 12, 100, 1_000, 3_000, 9_100));
        all.put(
                "process-tenants",
                new ProcessMeasurement("tenants", 100, 500, 2_000, 10_000, 54_000));
        all.put("starts", new StartsMeasurement());
        return Collections.unmodifiableMap(all);
    }
}
