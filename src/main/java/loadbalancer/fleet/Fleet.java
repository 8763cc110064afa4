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
 * One member of the fleet: combines membership, replicated state and the wire format. It performs
 * no I/O itself. Times are microseconds of a monotonic clock; all calls come from one thread.
 */
public final class Fleet {
    /** Maximum number of datagrams in one response: enough for a document of the maximum size. */
    static final int MAX_RESPONSE_DATAGRAMS = 24;

    /** Interval between datagrams that carry only items, while there are items to gossip. */
    private static final long GOSSIP_INTERVAL_MICROS = 250_000;

    /** Interval between attempts to recover from a peer what an earlier incarnation published. */
    private static final long RECOVERY_INTERVAL_MICROS = 1_000_000;

    /**
     * Interval between pulls of missing fragments: fragments that were already in flight have
     * arrived or are lost by then.
     */
    private static final long PULL_INTERVAL_MICROS = 500_000;

    /** Number of the last step in an exchange of bucket hashes. */
    private static final int LAST_STEP = 2;

    /** Sends datagrams through the socket. Called on the fleet's thread. */
    public interface DatagramSender {
        /** Sends a datagram to {@code host:port}; must not throw if that fails. */
        void send(String address, byte[] bytes);
    }

    /**
     * The parts of a received datagram that require a response.
     *
     * @param remoteHashes null if the datagram contained no bucket hashes
     * @param isFragmentMissing whether a document is incomplete here
     */
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
     * @param membershipProtocol creates the membership protocol, given the sender of its packets
     * @param store creates the replicated store, given the membership
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

    /** Returns the replicated state. */
    public ReplicatedStore store() {
        return store;
    }

    /** Returns the members of the fleet. */
    public Membership membership() {
        return membershipProtocol.membership();
    }

    /**
     * Handles a datagram; drops an invalid one instead of throwing.
     *
     * @param bytes the datagram, truncated to {@link DatagramCodec#MAX_DATAGRAM_BYTES} + 1 bytes
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

    /** Sends the items that a peer lacks, then the local hashes, which also end the response. */
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

    /**
     * Sends a packet with as many items as fit; drops the last updates of a packet that is too long
     * for a datagram.
     */
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

    /** Runs the timers that are due: membership, heartbeats, gossip and recovery. */
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

    /** Varies an interval by up to a quarter, to desynchronize members that start together. */
    private long withJitter(long intervalMicros) {
        return intervalMicros * 3 / 4 + random.nextLong(intervalMicros / 2);
    }

    /** Returns the address of a random peer that is alive or suspected; null if there is none. */
    private String randomPeerAddress() {
        List<String> addresses = new ArrayList<>();
        for (Member member : membership().members()) {
            if (member.health().compareTo(Health.DEAD) < 0 && !member.name().equals(store.self())) {
                addresses.add(member.address());
            }
        }
        return addresses.isEmpty() ? null : addresses.get(random.nextInt(addresses.size()));
    }

    /** Returns when to call {@link #wake} next; a publication may make that earlier. */
    public long nextWakeMicros() {
        long next = Math.min(membershipProtocol.nextWakeMicros(), replicator.nextWakeMicros());
        next = replicator.hasItemsToGossip() ? Math.min(next, nextGossipMicros) : next;
        return store.canVote() ? next : Math.min(next, nextRecoveryMicros);
    }

    /** Returns the current metrics. */
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
