package loadbalancer.fleet.codec;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Which datagrams of each process were seen: a sliding window over their numbers, after RFC 4303
 * section 3.4.3. Bounded: of more senders, or of more processes of one, the one unheard for longest
 * is forgotten. A replay from then could be taken once more; whatever it says merges into what is
 * known already.
 */
final class ReplayWindow {
    /**
     * Numbers of a sender run on with each datagram to anybody: seconds of a busy one, 128 bytes
     * each.
     */
    static final int WINDOW = 1_024;

    /** Twice the largest fleet that is measured. */
    static final int MOST_SENDERS = 2_048;

    /**
     * A hand-over has two; two more tell a doubled name. One that lies can only crowd its own name.
     */
    static final int MOST_BOOTS = 4;

    private static final class Window {
        private long last;
        private final long[] seen = new long[WINDOW / 64];

        DropReason see(long number) {
            if (number > last) {
                // What lies between is not seen; a jump over the whole window clears it.
                for (long n = Math.max(last + 1, number - WINDOW + 1); n <= number; n++) {
                    seen[word(n)] &= ~bit(n);
                }
                last = number;
            } else if (number <= last - WINDOW) {
                return DropReason.TOO_OLD;
            }
            boolean before = (seen[word(number)] & bit(number)) != 0;
            seen[word(number)] |= bit(number);
            return before ? DropReason.REPLAYED : null;
        }

        private static int word(long number) {
            return (int) (number % WINDOW / 64);
        }

        private static long bit(long number) {
            return 1L << (number % 64);
        }
    }

    private static final class Recent<K, V> extends LinkedHashMap<K, V> {
        private static final long serialVersionUID = 1;
        private final int most;

        Recent(int most) {
            super(16, 0.75f, true);
            this.most = most;
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
            return size() > most;
        }
    }

    private final Recent<String, Recent<Long, Window>> senders = new Recent<>(MOST_SENDERS);

    /** Null if that datagram is new. Numbers begin at 1. */
    DropReason see(String from, long boot, long number) {
        return senders.computeIfAbsent(from, f -> new Recent<>(MOST_BOOTS))
                .computeIfAbsent(boot, b -> new Window())
                .see(number);
    }
}
