package loadbalancer.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import loadbalancer.fleet.codec.Datagram;
import loadbalancer.fleet.codec.DatagramCodec;
import loadbalancer.fleet.codec.DropReason;
import loadbalancer.fleet.membership.Health;
import loadbalancer.fleet.membership.Member;
import loadbalancer.fleet.membership.Membership;
import loadbalancer.fleet.membership.Packet;
import loadbalancer.fleet.membership.SwimMessage;
import loadbalancer.fleet.replication.Item;
import loadbalancer.fleet.replication.ReplicatedStore;
import loadbalancer.fleet.replication.Replicator;

/**
 * One member of the fleet: membership, replicated state and wire format together. Logic without
 * I/O; times are microseconds of a monotonic clock, and all calls come from one thread.
 */
public final class Fleet {
    /** Datagrams of one response at most: enough for a document of the maximum size. */
    static final int MAX_RESPONSE_DATAGRAMS = 24;

    /** Between two datagrams that carry items only, while there are items to gossip. */
    private static final long GOSSIP_INTERVAL_MICROS = 250_000;

    /** Between two attempts to recover from a peer what an earlier incarnation published. */
    private static final long RECOVERY_INTERVAL_MICROS = 1_000_000;

    /** Between two pulls of missing fragments: by then they have arrived or are lost. */
    private static final long PULL_INTERVAL_MICROS = 500_000;

    /** The last step of an exchange of bucket hashes. */
    private static final int LAST_STEP = 2;

    /** Sends datagrams through the socket. */
    public interface DatagramSender {
        /** Sends a datagram to {@code host:port}; fails silently. */
        void send(String address, byte[] bytes);
    }

    /** What a datagram's items ask for; the hashes are null if there were none. */
    private record ReceivedItems(Item.BucketHashes remoteHashes, boolean isFragmentMissing) {}

    private final DatagramCodec codec;
    private final ReplicatedStore store;
    private final Replicator replicator;
    private final MembershipProtocol membershipProtocol;
    private final DatagramSender sender;
    private final RandomGenerator random;
    private final ResponseRateLimiter rateLimiter = new ResponseRateLimiter();
    private long lastSequenceNumber;
    private long nextGossipMicros = Long.MIN_VALUE;
    private long nextRecoveryMicros = Long.MIN_VALUE;
    private long nextPullMicros = Long.MIN_VALUE;
    private long datagramsReceived;
    private long bytesReceived;
    private long datagramsSent;
    private long bytesSent;

    /**
     * Creates a member.
     *
     * @param membershipProtocol is given what sends its packets
     * @param store is given the membership
     */
    public Fleet(
            DatagramCodec codec,
            DatagramSender sender,
            RandomGenerator random,
            Function<PacketSender, MembershipProtocol> membershipProtocol,
            Function<Membership, ReplicatedStore> store) {
        this.codec = codec;
        this.sender = sender;
        this.random = random;
        this.membershipProtocol = membershipProtocol.apply(this::sendPacket);
        this.store = store.apply(this.membershipProtocol.membership());
        this.replicator = this.store.replicator();
    }

    /** The replicated state. */
    public ReplicatedStore store() {
        return store;
    }

    /** The members of the fleet. */
    public Membership membership() {
        return membershipProtocol.membership();
    }

    /**
     * Handles a datagram; never fails.
     *
     * @param bytes at most one more than {@link DatagramCodec#MAX_DATAGRAM_BYTES}
     */
    public void received(long nowMicros, byte[] bytes, String address) {
        datagramsReceived++;
        bytesReceived += bytes.length;
        Datagram datagram = codec.decode(bytes, address);
        if (datagram == null) {
            return;
        }
        if (isOwn(datagram)) {
            codec.drop(DropReason.REFLECTED, address);
            return;
        }
        ReceivedItems items = receiveItems(nowMicros, datagram.items());
        Packet packet = datagram.packet();
        membershipProtocol.received(
                nowMicros, packet, datagram.sender(), address, datagram.bootId());
        if (items.isFragmentMissing && nowMicros >= nextPullMicros) {
            nextPullMicros = nowMicros + PULL_INTERVAL_MICROS;
            requestDifference(address);
        }
        if (items.remoteHashes != null) {
            onBucketHashes(nowMicros, items.remoteHashes, address);
        } else if (packet.message() instanceof SwimMessage.Digest digest) {
            onDigest(nowMicros, digest, address);
        }
    }

    private ReceivedItems receiveItems(long nowMicros, List<Item> items) {
        Item.BucketHashes remoteHashes = null;
        boolean isFragmentMissing = false;
        for (Item item : items) {
            if (item instanceof Item.BucketHashes hashes) {
                remoteHashes = hashes;
            } else {
                isFragmentMissing |= replicator.receive(nowMicros, item);
            }
        }
        return new ReceivedItems(remoteHashes, isFragmentMissing);
    }

    private boolean isOwn(Datagram datagram) {
        Member self = membership().self();
        return datagram.sender().equals(self.name()) && datagram.bootId() == self.bootId();
    }

    private void onDigest(long nowMicros, SwimMessage.Digest digest, String address) {
        if (digest.itemsHash() != replicator.itemsHash()
                && rateLimiter.tryAcquire(nowMicros, address, 1)) {
            requestDifference(address);
        }
    }

    private void requestDifference(String address) {
        sendDatagram(address, gossip(), List.of(replicator.bucketHashes(0, true)));
    }

    /** Sends what a peer lacks, then the local hashes, which also mark the end. */
    private void onBucketHashes(long nowMicros, Item.BucketHashes remote, String address) {
        replicator.onBucketHashes(nowMicros, remote);
        if (!rateLimiter.tryAcquire(nowMicros, address, MAX_RESPONSE_DATAGRAMS)) {
            return;
        }
        int itemBytes = codec.itemBytesLeft(store.self(), gossip());
        Replicator.Difference difference =
                replicator.difference(remote, MAX_RESPONSE_DATAGRAMS, itemBytes);
        difference.datagrams().forEach(items -> sendDatagram(address, gossip(), items));
        if (remote.step() < LAST_STEP) {
            Item.BucketHashes hashes =
                    replicator.bucketHashes(remote.step() + 1, difference.isComplete());
            sendDatagram(address, gossip(), List.of(hashes));
        }
    }

    private static Packet gossip() {
        return new Packet(new SwimMessage.Gossip(), List.of());
    }

    /** Sends a packet, without its last updates if it is too long, and items beside it. */
    private void sendPacket(String address, Packet packet) {
        Packet sent = withItemsHash(packet);
        int itemBytes = codec.itemBytesLeft(store.self(), sent);
        while (itemBytes < 0 && !sent.updates().isEmpty()) {
            List<Member> updates = sent.updates();
            sent = new Packet(sent.message(), updates.subList(0, updates.size() - 1));
            itemBytes = codec.itemBytesLeft(store.self(), sent);
        }
        sendDatagram(address, sent, replicator.nextItems(itemBytes));
    }

    private Packet withItemsHash(Packet packet) {
        if (!(packet.message() instanceof SwimMessage.Digest digest)) {
            return packet;
        }
        SwimMessage.Digest complete =
                new SwimMessage.Digest(
                        digest.nonce(),
                        digest.membersHash(),
                        replicator.itemsHash(),
                        digest.replyRequested());
        return new Packet(complete, packet.updates());
    }

    private void sendDatagram(String address, Packet packet, List<Item> items) {
        long bootId = membership().self().bootId();
        byte[] bytes =
                codec.encode(
                        new Datagram(store.self(), bootId, ++lastSequenceNumber, packet, items));
        datagramsSent++;
        bytesSent += bytes.length;
        sender.send(address, bytes);
    }

    /** Does what is due. */
    public void wake(long nowMicros) {
        membershipProtocol.wake(nowMicros);
        replicator.wake(nowMicros);
        if (nowMicros >= nextGossipMicros && replicator.hasItemsToGossip()) {
            nextGossipMicros = nowMicros + withJitter(GOSSIP_INTERVAL_MICROS);
            String address = randomPeerAddress();
            if (address != null) {
                sendPacket(address, gossip());
            }
        }
        if (!store.canVote() && nowMicros >= nextRecoveryMicros) {
            nextRecoveryMicros = nowMicros + withJitter(RECOVERY_INTERVAL_MICROS);
            String address = randomPeerAddress();
            if (address != null) {
                requestDifference(address);
            }
        }
    }

    /** Within a quarter, to desynchronize members that start together. */
    private long withJitter(long intervalMicros) {
        return intervalMicros * 3 / 4 + random.nextLong(intervalMicros / 2);
    }

    /** The address of a peer that is alive or suspected; null if there is none. */
    private String randomPeerAddress() {
        List<String> addresses = new ArrayList<>();
        for (Member member : membership().members()) {
            if (member.health().compareTo(Health.DEAD) < 0 && !member.name().equals(store.self())) {
                addresses.add(member.address());
            }
        }
        return addresses.isEmpty() ? null : addresses.get(random.nextInt(addresses.size()));
    }

    /** When {@link #wake} is wanted next, in microseconds; a publication may bring it forward. */
    public long nextWakeMicros() {
        long next = Math.min(membershipProtocol.nextWakeMicros(), replicator.nextWakeMicros());
        next = replicator.hasItemsToGossip() ? Math.min(next, nextGossipMicros) : next;
        return store.canVote() ? next : Math.min(next, nextRecoveryMicros);
    }

    /** The present metrics. */
    public FleetMetrics metrics() {
        Map<String, Long> dropped = new TreeMap<>();
        codec.dropCounts().forEach((reason, count) -> dropped.put(reason.label(), count));
        Map<String, Long> rejected = new TreeMap<>();
        replicator.rejectedCounts().forEach((reason, count) -> rejected.put(reason.label(), count));
        return new FleetMetrics(
                datagramsReceived,
                bytesReceived,
                datagramsSent,
                bytesSent,
                dropped,
                rejected,
                codec.unknownMessageCount() + codec.unknownItemCount(),
                replicator.itemCount(),
                replicator.itemBytes(),
                store.impersonatedMembers().size());
    }
}
