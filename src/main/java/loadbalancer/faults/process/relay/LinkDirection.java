package loadbalancer.faults.process.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * One direction between two: draws what happens to what passes. Pure but for its conditions, which
 * any thread may change.
 */
public final class LinkDirection {
    /** A datagram that is late comes behind what was sent within this time, at least. */
    private static final long LATE_MS = 20;

    private final RandomGenerator random;
    private volatile LinkConditions conditions = LinkConditions.CLEAR;

    /** Draws from that source; it is asked on one thread only. */
    public LinkDirection(RandomGenerator random) {
        this.random = random;
    }

    /** Sets what it is like from now on. */
    public void conditions(LinkConditions next) {
        conditions = next;
    }

    /** What it is like. */
    public LinkConditions conditions() {
        return conditions;
    }

    /** One copy of a datagram: when it comes, and what. */
    record Copy(long afterMs, byte[] bytes) {}

    /** What comes of a datagram: none, one or two copies. */
    List<Copy> datagram(byte[] bytes) {
        LinkConditions now = conditions;
        List<Copy> copies = new ArrayList<>(2);
        if (now.held() || strikes(now.loss())) {
            return copies;
        }
        copies.add(copy(now, bytes));
        if (strikes(now.twice())) {
            copies.add(copy(now, bytes));
        }
        return copies;
    }

    private Copy copy(LinkConditions now, byte[] bytes) {
        long after = delay(now);
        if (strikes(now.late())) {
            after += LATE_MS + now.delayMs() + now.jitterMs();
        }
        byte[] arrives = bytes.clone();
        if (arrives.length > 0 && strikes(now.spoilt())) {
            arrives[random.nextInt(arrives.length)] ^= (byte) (1 << random.nextInt(8));
        }
        return new Copy(after, arrives);
    }

    /** How long a piece of a stream takes, in milliseconds. */
    long piece() {
        return delay(conditions);
    }

    private long delay(LinkConditions now) {
        return now.delayMs() + (now.jitterMs() == 0 ? 0 : random.nextLong(now.jitterMs() + 1));
    }

    private boolean strikes(double chance) {
        return chance > 0 && random.nextDouble() < chance;
    }
}
