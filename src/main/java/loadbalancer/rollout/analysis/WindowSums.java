package loadbalancer.rollout.analysis;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** Sums the counters of each member over consecutive windows. Not thread-safe. */
final class WindowSums {
    private final int valueCount;
    private final Map<String, long[]> sumsByMember = new TreeMap<>();
    private final Map<String, Integer> windowsByMember = new HashMap<>();
    private int windows;

    /** Creates sums of counters with {@code valueCount} values, including the cohort. */
    WindowSums(int valueCount) {
        this.valueCount = valueCount;
    }

    /** Adds a window. The sums of a member restart with this window if its cohort changed. */
    void addWindow(Map<String, long[]> countersByMember) {
        windows++;
        countersByMember.forEach(this::add);
    }

    private void add(String member, long[] counters) {
        long[] sum = sumsByMember.get(member);
        if (sum == null || sum[WindowCounters.COHORT] != counters[WindowCounters.COHORT]) {
            sumsByMember.put(member, counters.clone());
            windowsByMember.put(member, 1);
            return;
        }
        for (int i = WindowCounters.COHORT + 1; i < valueCount; i++) {
            sum[i] += counters[i];
        }
        windowsByMember.merge(member, 1, Integer::sum);
    }

    int windows() {
        return windows;
    }

    /** Returns the sums by member, which include the cohort of the member. */
    Map<String, long[]> byMember() {
        return sumsByMember;
    }

    /** Removes members without counters in more than half of the windows. */
    void removeIncompleteMembers() {
        sumsByMember.keySet().removeIf(member -> 2 * windowsByMember.get(member) < windows);
    }

    void clear() {
        sumsByMember.clear();
        windowsByMember.clear();
        windows = 0;
    }
}
