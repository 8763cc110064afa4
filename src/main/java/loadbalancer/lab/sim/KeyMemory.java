package loadbalancer.lab.sim;

import java.util.LinkedHashMap;
import java.util.Map;
import loadbalancer.lab.scenario.Section;

/** The keys that a server met lately: it does less work for these, and remembers only so many. */
final class KeyMemory {
    private final double gain;
    private final long span;
    private final Map<Integer, Long> metAt;

    KeyMemory(Section s, int cores) {
        gain = s.number("gain");
        span = s.micros("memory_s");
        int most = s.whole("keys_per_core") * cores;
        metAt =
                new LinkedHashMap<>(16, 0.75f, true) {
                    private static final long serialVersionUID = 1;

                    @Override
                    protected boolean removeEldestEntry(Map.Entry<Integer, Long> eldest) {
                        return size() > most;
                    }
                };
    }

    double cost(int key, long now, double work) {
        if (key < 0 || gain == 0) {
            return work;
        }
        Long met = metAt.get(key);
        return met != null && now - met <= span ? work * (1 - gain) : work;
    }

    void met(int key, long now) {
        if (key >= 0 && gain > 0) {
            metAt.put(key, now);
        }
    }

    void clear() {
        metAt.clear();
    }
}
