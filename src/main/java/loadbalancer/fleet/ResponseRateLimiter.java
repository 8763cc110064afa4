package loadbalancer.fleet;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Limits the responses to bucket hashes and digests, so that a peer with a high request rate can't
 * make this member flood others: each peer gets a maximum number of responses per second, and all
 * peers together a maximum number of datagrams per second. Items of a suppressed response are
 * requested again at the next comparison, since the hashes still differ. For the fleet's thread;
 * times are microseconds of its monotonic clock.
 */
final class ResponseRateLimiter {
    private static final long SECOND_MICROS = 1_000_000;

    /** Allows two responses of the maximum size, each followed by the hashes. */
    private static final int DATAGRAMS_PER_SECOND = 2 * (Fleet.MAX_RESPONSE_DATAGRAMS + 1);

    /** One comparison takes two responses from each side. */
    private static final int RESPONSES_PER_PEER_AND_SECOND = 3;

    private static final int MAX_PEERS = 256;

    private record PeerResponses(long second, int count) {}

    private final Map<String, PeerResponses> byPeer =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1;

                @Override
                protected boolean removeEldestEntry(Map.Entry<String, PeerResponses> eldest) {
                    return size() > MAX_PEERS;
                }
            };
    private long currentSecond = Long.MIN_VALUE;
    private int datagramsLeft;

    /** Returns whether a response to a peer is within the limits; counts its datagrams if so. */
    boolean tryAcquire(long nowMicros, String peerAddress, int datagrams) {
        long second = nowMicros / SECOND_MICROS;
        if (second != currentSecond) {
            currentSecond = second;
            datagramsLeft = DATAGRAMS_PER_SECOND;
        }
        PeerResponses before = byPeer.get(peerAddress);
        int count = before == null || before.second != second ? 0 : before.count;
        if (count == RESPONSES_PER_PEER_AND_SECOND || datagramsLeft <= 0) {
            return false;
        }
        byPeer.put(peerAddress, new PeerResponses(second, count + 1));
        datagramsLeft -= datagrams;
        return true;
    }
}
