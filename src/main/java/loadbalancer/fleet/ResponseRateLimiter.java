package loadbalancer.fleet;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Limits the responses to bucket hashes and digests, so that a peer that asks all the time can't
 * make this member flood anybody: a number of responses a second for each peer, and of datagrams a
 * second for all. What is not sent now is asked for again, since it still differs. For the fleet's
 * thread; times are microseconds of its monotonic clock.
 */
final class ResponseRateLimiter {
    private static final long SECOND_MICROS = 1_000_000;

    /** Two responses of the maximum size. */
    private static final int DATAGRAMS_PER_SECOND = 2 * (Fleet.MAX_RESPONSE_DATAGRAMS + 1);

    /** One comparison needs two responses of each side. */
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

    /** Whether a response of that many datagrams may be sent to a peer; counts it if so. */
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
