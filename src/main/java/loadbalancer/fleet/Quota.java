package loadbalancer.fleet;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * How much is answered to comparisons, so that nobody who asks all the time makes a member flood
 * another or itself: each peer once a second, all together a number of datagrams a second. What
 * isn't answered now is asked again, since it still differs then.
 */
final class Quota {
    private static final long SECOND = 1_000_000;

    /** Datagrams a second, two of the longest answers: 60 KB at the very worst. */
    private static final int BURST = 2 * (Fleet.ANSWER_DATAGRAMS + 1);

    /**
     * Answers a second: an exchange has two at each side, so three could be in flight with one
     * peer.
     */
    private static final int PER_PEER = 3;

    private static final int MOST_PEERS = 256;

    private record Peer(long second, int count) {}

    private final Map<String, Peer> peers =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Peer> eldest) {
                    return size() > MOST_PEERS;
                }
            };
    private long second = Long.MIN_VALUE;
    private int left;

    /** Whether so many datagrams may go to that peer. */
    boolean take(long now, String peer, int datagrams) {
        if (now / SECOND != second) {
            second = now / SECOND;
            left = BURST;
        }
        Peer before = peers.get(peer);
        int count = before == null || before.second != second ? 0 : before.count;
        if (count == PER_PEER || left <= 0) {
            return false;
        }
        peers.put(peer, new Peer(second, count + 1));
        left -= datagrams;
        return true;
    }
}
