package loadbalancer.fleet.membership;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Push-pull anti-entropy of the member table, for updates that gossip did not deliver. Periodically
 * two members compare the hashes of one group of names and send each other the group's members if
 * the hashes differ. Names are divided into {@code 1 << level} groups; the lowest 4 bits of the
 * nonce are the level, the next {@code level} bits the group. The receiver of a digest replies with
 * digests that request no further reply; the initiator then sends its own members as gossip.
 *
 * <p>For the thread of {@link Swim}. Times are microseconds of its monotonic clock.
 */
final class AntiEntropy {
    /** Long enough that the two packets of a comparison are a small fraction of probe traffic. */
    private static final long INTERVAL_MICROS = 15_000_000;

    /**
     * Initial interval, which doubles up to {@link #INTERVAL_MICROS}: members that start together
     * know few others and converge faster this way.
     */
    private static final long FIRST_INTERVAL_MICROS = 2_000_000;

    /** Interval between batches of at most {@link #TRANSFERS_PER_BATCH} packets. */
    private static final long BATCH_INTERVAL_MICROS = 100_000;

    private static final int TRANSFERS_PER_BATCH = 2;

    /** Requests beyond this limit are ignored; the peer compares again after its interval. */
    private static final int MAX_TRANSFERS = 8;

    /** Target number of members per group; their transfer takes about four packets. */
    private static final int GROUP_SIZE = 32;

    private static final int MAX_LEVEL = 15;
    private static final int LEVEL_MASK = 15;
    private static final int LEVEL_BITS = 4;
    private static final int MAX_STARTED_NONCES = 8;

    /** Sends the members of one group to one address, over several packets. */
    private static final class Transfer {
        private final String address;
        private final long nonce;
        private final SwimMessage message;
        private final List<Member> members;
        private int nextIndex;

        Transfer(String address, long nonce, SwimMessage message, List<Member> members) {
            this.address = address;
            this.nonce = nonce;
            this.message = message;
            this.members = members;
        }
    }

    private final MemberTable table;
    private final PacketAssembler packets;
    private final RandomGenerator random;
    private final SwimOutput output;
    private final Deque<Long> startedNonces = new ArrayDeque<>();
    private final Deque<Transfer> transfers = new ArrayDeque<>();
    private long intervalMicros = FIRST_INTERVAL_MICROS;
    private long nextComparisonMicros = Long.MAX_VALUE;
    private long nextBatchMicros = Long.MIN_VALUE;

    AntiEntropy(
            MemberTable table, PacketAssembler packets, RandomGenerator random, SwimOutput output) {
        this.table = table;
        this.packets = packets;
        this.random = random;
        this.output = output;
    }

    void start(long nowMicros) {
        nextComparisonMicros = nowMicros + (long) (intervalMicros * (0.5 + random.nextDouble()));
    }

    void stop() {
        nextComparisonMicros = Long.MAX_VALUE;
        transfers.clear();
    }

    /** Starts a comparison of the whole table, for a joining member. */
    void compareAll(String address, List<Member> requiredUpdates) {
        compare(address, random.nextLong() & ~LEVEL_MASK, requiredUpdates);
    }

    /** Starts a comparison of one random group. */
    void compareGroup(String address, List<Member> requiredUpdates) {
        int groups = Math.max(1, (table.presentCount() + GROUP_SIZE - 1) / GROUP_SIZE);
        int level = Math.min(MAX_LEVEL, 32 - Integer.numberOfLeadingZeros(groups - 1));
        compare(address, random.nextLong() & ~LEVEL_MASK | level, requiredUpdates);
    }

    private void compare(String address, long nonce, List<Member> requiredUpdates) {
        startedNonces.addLast(nonce);
        if (startedNonces.size() > MAX_STARTED_NONCES) {
            startedNonces.removeFirst();
        }
        packets.send(
                address,
                new SwimMessage.Digest(nonce, hash(nonce), output.itemsHash(), true),
                requiredUpdates);
    }

    private static int level(long nonce) {
        return (int) (nonce & LEVEL_MASK);
    }

    private static long group(long nonce) {
        return nonce >>> LEVEL_BITS & (1 << level(nonce)) - 1;
    }

    private long hash(long nonce) {
        return table.hash(level(nonce), group(nonce));
    }

    void onDigest(SwimMessage.Digest digest, String fromAddress) {
        long nonce = digest.nonce();
        if (digest.replyRequested()) {
            long hash = hash(nonce);
            if (hash != digest.membersHash()) {
                startTransfer(
                        fromAddress,
                        nonce,
                        new SwimMessage.Digest(nonce, hash, output.itemsHash(), false));
            }
        } else if (startedNonces.remove(nonce) && hash(nonce) != digest.membersHash()) {
            startTransfer(fromAddress, nonce, new SwimMessage.Gossip());
        }
    }

    private void startTransfer(String address, long nonce, SwimMessage message) {
        boolean isRunning =
                transfers.stream().anyMatch(t -> t.nonce == nonce && t.address.equals(address));
        if (!isRunning && transfers.size() < MAX_TRANSFERS) {
            transfers.addLast(
                    new Transfer(address, nonce, message, table.group(level(nonce), group(nonce))));
        }
    }

    long nextWakeMicros() {
        return transfers.isEmpty()
                ? nextComparisonMicros
                : Math.min(nextComparisonMicros, nextBatchMicros);
    }

    void wake(long nowMicros) {
        if (nowMicros >= nextComparisonMicros) {
            intervalMicros = Math.min(INTERVAL_MICROS, 2 * intervalMicros);
            nextComparisonMicros =
                    nowMicros + (long) (intervalMicros * (0.5 + random.nextDouble()));
            for (Member member : table.sample(1, random, m -> m.health() == Health.ALIVE)) {
                compareGroup(member.address(), List.of());
            }
        }
        if (!transfers.isEmpty() && nowMicros >= nextBatchMicros) {
            nextBatchMicros = nowMicros + BATCH_INTERVAL_MICROS;
            for (int i = 0; i < TRANSFERS_PER_BATCH && !transfers.isEmpty(); i++) {
                sendNextPacket(transfers.removeFirst());
            }
        }
    }

    private void sendNextPacket(Transfer transfer) {
        int end =
                transfer.nextIndex
                        + PacketAssembler.countFitting(transfer.members, transfer.nextIndex);
        packets.send(
                transfer.address,
                transfer.message,
                transfer.members.subList(transfer.nextIndex, end));
        transfer.nextIndex = end;
        if (end < transfer.members.size()) {
            transfers.addLast(transfer);
        }
    }
}
