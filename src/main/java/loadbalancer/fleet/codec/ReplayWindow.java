package loadbalancer.fleet.codec;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Detects replayed datagrams by a sliding window over the sequence numbers of each process (RFC
 * 4303, section 3.4.3). Bounded: of more senders, or more processes of one, the least recently
 * heard is forgotten. A replay from such a one is accepted again; its content merges into what is
 * known. For one thread; knows no time.
 */
final class ReplayWindow {
    /** Covers seconds of a busy sender with 128 bytes. */
    static final int WINDOW_SIZE = 1_024;

    /** Above the number of members that a table holds. */
    static final int MAX_SENDERS = 2_048;

    /** A hand-over has two processes, a name conflict two more. */
    static final int MAX_PROCESSES_PER_SENDER = 4;

    private static final class Window {
        private long highest;
        private final long[] received = new long[WINDOW_SIZE / Long.SIZE];

        DropReason accept(long number) {
            if (number > highest) {
                // Numbers in between are not received; a jump over the whole window clears it.
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

    /** Records a datagram; returns null if it is new, else why it is to be dropped. */
    DropReason accept(String sender, long bootId, long sequenceNumber) {
        return bySender.computeIfAbsent(
                        sender, name -> new LeastRecentlyUsedCache<>(MAX_PROCESSES_PER_SENDER))
                .computeIfAbsent(bootId, process -> new Window())
                .accept(sequenceNumber);
    }
}
