package loadbalancer.fleet.codec;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Detects replayed datagrams with a sliding window over the sequence numbers of each process (RFC
 * 4303, section 3.4.3). The numbers of senders, and of processes per sender, are bounded: beyond
 * that the least recently used window is evicted. A replay from an evicted process is accepted
 * again, which is harmless since merging its content is idempotent. For one thread; independent of
 * time.
 */
final class ReplayWindow {
    /** Covers the datagrams of several seconds of a busy sender in 128 bytes. */
    static final int WINDOW_SIZE = 1_024;

    /** Above the maximum number of members in the member table. */
    static final int MAX_SENDERS = 2_048;

    /** Covers the two processes of a hand-over, twice because of a possible name conflict. */
    static final int MAX_PROCESSES_PER_SENDER = 4;

    private static final class Window {
        private long highest;
        private final long[] received = new long[WINDOW_SIZE / Long.SIZE];

        DropReason accept(long number) {
            if (number > highest) {
                // The skipped numbers are not received yet; a jump beyond the window clears it.
                long firstMissing = Math.max(highest + 1, number - WINDOW_SIZE + 1);
                for (long missing = firstMissing; missing <= number; missing++) {
                    received[wordIndex(missing)] &= ~bitMask(missing);
                }
                highest = number;
            } else if (number <= highest - WINDOW_SIZE) {
                return DropReason.TOO_OLD;
            }
            boolean isReplay = (received[wordIndex(number)] & bitMask(number)) != 0;
            received[wordIndex(number)] |= bitMask(number);
            return isReplay ? DropReason.REPLAYED : null;
        }

        private static int wordIndex(long number) {
            return (int) (number % WINDOW_SIZE / Long.SIZE);
        }

        private static long bitMask(long number) {
            return 1L << (number % Long.SIZE);
        }
    }

    private static final class LeastRecentlyUsedCache<K, V> extends LinkedHashMap<K, V> {
        private static final long serialVersionUID = 1;

        private final int maxEntries;

        LeastRecentlyUsedCache(int maxEntries) {
            super(16, 0.75f, true);
            this.maxEntries = maxEntries;
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
            return size() > maxEntries;
        }
    }

    private final LeastRecentlyUsedCache<String, LeastRecentlyUsedCache<Long, Window>> bySender =
            new LeastRecentlyUsedCache<>(MAX_SENDERS);

    /** Records a datagram; returns null if it is new, else the reason to drop it. */
    DropReason accept(String sender, long bootId, long sequenceNumber) {
        return bySender.computeIfAbsent(
                        sender, name -> new LeastRecentlyUsedCache<>(MAX_PROCESSES_PER_SENDER))
                .computeIfAbsent(bootId, process -> new Window())
                .accept(sequenceNumber);
    }
}
