package loadbalancer.fleet;

import static loadbalancer.fleet.LossyNetwork.SECOND;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import loadbalancer.fleet.codec.Datagram;
import loadbalancer.fleet.codec.DatagramCodec;
import loadbalancer.fleet.codec.SigningKeys;
import loadbalancer.fleet.membership.Membership;
import loadbalancer.fleet.membership.Packet;
import loadbalancer.fleet.membership.SwimMessage;
import loadbalancer.fleet.replication.Item;
import loadbalancer.fleet.replication.MemberIdentity;
import loadbalancer.fleet.replication.ReplicatedStore;
import org.junit.jupiter.api.Test;

/** Tests complete members that exchange encoded datagrams in virtual time. */
class FleetTest {
    private final LossyNetwork network = new LossyNetwork();

    @Test
    void flagAndLongDocumentReachAHundredMembersWithTwentyPercentLoss() {
        network.startAll(100);
        byte[] body = new byte[16 * 1024];
        new Random(1).nextBytes(body);
        network.fleet("m1").store().publish(0, "plan/long", body);
        network.fleet("m2").store().raiseFlag(0, "plan/halt", new byte[1]);
        network.runUntil(40 * SECOND);
        assertEquals(100, network.countWithDocument("plan/long"));
        assertArrayEquals(
                body,
                network.fleet("m7").store().documents(network.now(), "plan/long").get("m1").body());
        assertTrue(
                network.fleets().values().stream()
                        .allMatch(fleet -> fleet.store().flags("plan/halt").size() == 1));
        long before = network.bytesSent();
        network.runUntil(80 * SECOND);
        long bytesPerSecond = (network.bytesSent() - before) / 100 / 40;
        assertTrue(bytesPerSecond < 5_000, "bytes per second and member: " + bytesPerSecond);
        Map<String, Long> dropped = network.fleet("m7").metrics().droppedByReason();
        assertFalse(dropped.containsKey("malformed"));
        assertTrue(dropped.containsKey("replayed"));
    }

    @Test
    void healedPartitionConvergesAndAMemberWithoutStateRecoversBeforeItMayVote() {
        network.startAll(20);
        network.setPartitioned(true);
        for (int i = 0; i < 20; i++) {
            ReplicatedStore store = network.fleet("m" + i).store();
            store.publish(0, "own/" + i % 7, new byte[100]);
            store.raiseFlag(0, "flag/" + i, new byte[1]);
        }
        network.runUntil(20 * SECOND);
        assertTrue(network.countDistinctStates() > 1);
        network.setPartitioned(false);
        network.runUntil(25 * SECOND);
        network.fleets().remove("m3");
        network.start("m3", 20, null);
        assertFalse(network.fleet("m3").store().canVote());
        network.runUntil(90 * SECOND);
        assertTrue(network.fleet("m3").store().canVote());
        assertEquals(1, network.fleet("m3").store().flags("flag/3").size());
        assertTrue(
                network.fleet("m9").store().documents(network.now(), "own/3").containsKey("m3"),
                "its own documents are republished");
        assertEquals(1, network.countDistinctStates());
        assertTrue(
                network.fleets().values().stream()
                        .allMatch(fleet -> fleet.store().impersonatedMembers().isEmpty()));
    }

    private static DatagramCodec codec() {
        return new DatagramCodec(new SigningKeys(new byte[32]), line -> {});
    }

    /** A membership protocol that never sends. */
    private record SilentProtocol(Membership membership) implements MembershipProtocol {
        @Override
        public void received(
                long nowMicros, Packet packet, String name, String address, long bootId) {}

        @Override
        public void wake(long nowMicros) {}

        @Override
        public long nextWakeMicros() {
            return Long.MAX_VALUE;
        }
    }

    /** Creates a member of a fleet of two that records the datagrams it sends. */
    private static Fleet silentFleet(List<byte[]> sent) {
        MemberIdentity identity = new MemberIdentity("m0", FixedMembership.names(2), 1, false);
        return new Fleet(
                codec(),
                (address, bytes) -> sent.add(bytes),
                new Random(1),
                sender -> new SilentProtocol(new FixedMembership("m0", 2)),
                membership ->
                        new ReplicatedStore(
                                0, identity, membership, LossyNetwork.EMPTY_STATE, line -> {}));
    }

    @Test
    void dropsReflectedDatagramsAndLimitsResponsesToAFloodOfRequests() {
        List<byte[]> sent = new ArrayList<>();
        Fleet fleet = silentFleet(sent);
        fleet.store().publish(0, "t", new byte[16_000]);
        fleet.wake(0);
        fleet.received(0, sent.get(0), "m0");
        assertEquals(Map.of("reflected", 1L), fleet.metrics().droppedByReason());
        DatagramCodec requester = codec();
        Packet gossip = new Packet(new SwimMessage.Gossip(), List.of());
        Item request = new Item.BucketHashes("x", "m1", 0, true, new long[32]);
        sent.clear();
        for (int i = 1; i <= 1_000; i++) {
            byte[] bytes = requester.encode(new Datagram("m1", 5, i, gossip, List.of(request)));
            fleet.received(i, bytes, "a" + i % 50);
        }
        assertTrue(
                sent.size() >= Fleet.MAX_RESPONSE_DATAGRAMS
                        && sent.size() < 4 * Fleet.MAX_RESPONSE_DATAGRAMS,
                "responses: " + sent.size());
    }
}
