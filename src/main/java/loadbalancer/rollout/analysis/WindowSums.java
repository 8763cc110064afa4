package loadbalancer.rollout.analysis;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** Counters of each member, summed up over consecutive windows. Not thread-safe. */
final class WindowSums {
    private final int valueCount;
    private final Map<String, long[]> sumsByMember = new TreeMap<>();
    private final Map<String, Integer> windowsByMember = new HashMap<>();
    private int windows;

    /** For counters with so many values, the cohort among them. */
    WindowSums(int valueCount) {
        this.valueCount = valueCount;
    }

    /** Adds a window. A member that has changed its cohort counts from this window on. */
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

    /** The sums; their cohort is that of the member. */
    Map<String, long[]> byMember() {
        return sumsByMember;
    }

    /** Drops members that miss more than half of the windows. */
    void removeIncompleteMembers() {
        sumsByMember.keySet().removeIf(member -> 2 * windowsByMember.get(member) < windows);
    }

    void clear() {
        sumsByMember.clear();
        windowsByMember.clear();
        windows = 0;
    }
}
