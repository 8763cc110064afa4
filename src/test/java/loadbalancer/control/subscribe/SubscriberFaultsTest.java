package loadbalancer.control.subscribe;

import static java.nio.charset.StandardCharsets.UTF_8;
import static loadbalancer.control.subscribe.SubscriberHarness.tenant;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collections;
import java.util.List;
import loadbalancer.control.model.Acknowledgement;
import loadbalancer.control.model.Digest;
import loadbalancer.control.model.ResourceId;
import loadbalancer.control.model.ResourceKind;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.Scope;
import loadbalancer.control.model.UpdatePart;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SubscriberFaultsTest {
    private final ModelPublisher publisher = new ModelPublisher();
    private final Revision first = publisher.put(tenant("shop", "t1", 1), tenant("shop", "t2", 1));
    private final Revision second = publisher.put(tenant("shop", "t3", 1), tenant("shop", "t4", 1));
    private final Revision third = publisher.put(tenant("shop", "t1", 3));
    private final SubscriberHarness harness = SubscriberHarness.started(publisher);

    @BeforeEach
    void applySecondRevision() {
        harness.send(publisher.snapshot(second, 2));
        harness.assertInForce(second);
    }

    private void assertReconnectsToNextServer(Revision requested) {
        assertFalse(harness.open);
        harness.assertInForce(second);
        String rejection = harness.subscriber.status().lastFailure();
        assertEquals(1, rejection.lines().count(), rejection);
        int server = harness.servers.get(harness.servers.size() - 1);
        harness.reconnect();
        assertEquals(requested, harness.lastRequest().revision());
        assertNotEquals(server, harness.servers.get(harness.servers.size() - 1));
        harness.send(publisher.parts(requested, third, 1));
        harness.assertInForce(third);
        assertEquals("", harness.subscriber.status().lastFailure());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "garbage",
                "[]",
                "{\"from\":\"1.2\",\"part\":-1}",
                "{\"from\":\"1.2\",\"part\":1}",
                "{\"from\":\"1.1\",\"part\":0}",
                "{\"from\":\"9.9\",\"part\":0}",
                "{\"from\":\"1.2\",\"part\":0,\"completion\":{}}",
                "{\"from\":\"1.2\",\"part\":0,\"delete\":[null]}",
                "{\"from\":\"1.2\",\"part\":0,\"delete\":[{}]}",
                "{\"from\":\"1.2\",\"part\":0,\"put\":[{}]}",
                "{\"from\":\"1.2\",\"part\":0,\"put\":[{\"revision\":\"1.3\","
                        + "\"resource\":{\"kind\":\"tenant\"}}]}",
                "{\"from\":\"1.2\",\"part\":0,\"completion\":{\"to\":\"1.1\",\"digest\":\"0\"}}",
                "{\"from\":\"1.2\",\"part\":0,\"completion\":{\"to\":\"0.9\",\"digest\":\"0\"}}"
            })
    void reconnectsFromTheRevisionInForceAfterInvalidLine(String line) {
        harness.sendLine(line.getBytes(UTF_8));
        assertReconnectsToNextServer(second);
    }

    @Test
    void reconnectsAfterLineBeyondTheLimit() {
        harness.sendLine(new byte[LineBuffer.MAX_LINE_BYTES + 1]);
        assertReconnectsToNextServer(second);
    }

    @Test
    void reconnectsAfterSkippedOrDuplicatePart() {
        List<UpdatePart> parts = publisher.snapshot(third, 1);
        harness.send(parts.get(0));
        harness.send(parts.get(2));
        assertReconnectsToNextServer(second);
        harness.send(parts.get(0));
        harness.send(parts.get(0));
        assertFalse(harness.open);
        harness.assertInForce(third);
    }

    @Test
    void reconnectsAfterPartOfAnotherUpdate() {
        harness.send(publisher.delta(second, third, 1).get(0));
        harness.send(publisher.snapshot(third, 1).get(1));
        assertReconnectsToNextServer(second);
    }

    @Test
    void rejectsSnapshotOfEarlierRevision() {
        harness.send(publisher.snapshot(first, 2));
        assertTrue(harness.subscriber.status().lastFailure().contains("behind"));
        assertReconnectsToNextServer(second);
    }

    @Test
    void rejectsSnapshotOfEarlierEpochWithHigherNumber() {
        Revision later =
                publisher.changeTo(new Revision(2, 1), List.of(tenant("shop", "t5", 1)), List.of());
        harness.sendDelta(later);
        harness.assertInForce(later);
        harness.send(publisher.snapshot(third, 2));
        assertFalse(harness.open);
        harness.assertInForce(later);
    }

    @Test
    void requestsSnapshotAfterDeltaWithWrongDigest() {
        UpdatePart.Completion wrong = new UpdatePart.Completion(third, new Digest(5));
        harness.send(publisher.delta(second, third, 1).get(0));
        harness.send(new UpdatePart(second, 1, List.of(), List.of(), wrong));
        assertReconnectsToNextServer(Revision.NONE);
    }

    @Test
    void rejectsSnapshotWithWrongDigest() {
        harness.send(
                new UpdatePart(
                        Revision.NONE,
                        0,
                        List.of(),
                        List.of(),
                        new UpdatePart.Completion(third, new Digest(5))));
        assertEquals(Acknowledgement.Status.REJECTED, harness.lastAcknowledgement().status());
        assertEquals(third, harness.lastAcknowledgement().rejected());
        assertReconnectsToNextServer(second);
    }

    @Test
    void replacesDamagedStateBySnapshotOfTheSameRevision() {
        ResourceState damaged = new ResourceState();
        damaged.advance(second);
        SubscriberHarness other =
                new SubscriberHarness(publisher, Scope.ALL, damaged, 1) {
                    @Override
                    void assertStateMatchesModel() {
                        if (!applied.isEmpty()) {
                            super.assertStateMatchesModel();
                        }
                    }
                };
        other.subscriber.start(0);
        other.send(publisher.delta(second, second, 1));
        assertFalse(other.open);
        other.reconnect();
        assertEquals(Revision.NONE, other.lastRequest().revision());
        other.send(publisher.snapshot(second, 1));
        other.assertInForce(second);
    }

    @Test
    void disconnectsAfterResourceOutsideTheScope() {
        SubscriberHarness other =
                new SubscriberHarness(publisher, Scope.of("bank"), new ResourceState(), 1);
        other.subscriber.start(0);
        other.send(publisher.snapshot(second, 2));
        assertFalse(other.open);
        assertEquals(Revision.NONE, other.inForce());
    }

    @Test
    void rejectsUpdateBeyondTheResourceOrByteLimit() throws SubscriptionException {
        ResourceId id = new ResourceId(ResourceKind.TENANT, "shop", "t");
        List<ResourceId> many = Collections.nCopies(UpdateCollector.MAX_RESOURCES, id);
        UpdateCollector collector = new UpdateCollector(Scope.ALL);
        ResourceState applied = new ResourceState();
        collector.begin(new UpdatePart(Revision.NONE, 0, List.of(), many, null), 1, applied);
        UpdatePart next = new UpdatePart(Revision.NONE, 1, List.of(), List.of(id), null);
        assertThrows(SubscriptionException.class, () -> collector.begin(next, 1, applied));
        collector.clear();
        UpdatePart small = new UpdatePart(Revision.NONE, 0, List.of(), List.of(), null);
        assertThrows(
                SubscriptionException.class,
                () -> collector.begin(small, (int) UpdateCollector.MAX_BYTES + 1, applied));
    }

    @Test
    void reconnectsAfterSilenceTimeout() {
        harness.advanceMillis(SubscriberHarness.SILENCE_MILLIS - 1);
        harness.work();
        assertTrue(harness.open);
        harness.advanceMillis(1);
        harness.work();
        assertReconnectsToNextServer(second);
    }

    @Test
    void reconnectsIfServerNeverResponds() {
        harness.end();
        harness.now += harness.runOnce();
        harness.runOnce();
        assertEquals(SubscriberPhase.CONNECTING, harness.subscriber.status().phase());
        harness.now += harness.runOnce();
        harness.runOnce();
        assertReconnectsToNextServer(second);
    }

    @Test
    void detectsSilenceAfterProcessWasSuspended() {
        harness.advanceMillis(20_000);
        harness.work();
        assertEquals(20_000, harness.subscriber.status().millisSinceReceived());
        assertReconnectsToNextServer(second);
    }

    @Test
    void ignoresEventsWithoutConnection() {
        harness.end();
        harness.subscriber.lineReceived(0, "garbage".getBytes(UTF_8));
        harness.subscriber.heartbeatReceived(0);
        harness.subscriber.subscriptionEnded(0, 60_000, "again");
        assertTrue(harness.subscriber.status().lastFailure().contains("lost"));
        assertReconnectsToNextServer(second);
    }
}
