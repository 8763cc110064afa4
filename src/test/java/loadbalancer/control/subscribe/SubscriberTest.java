package loadbalancer.control.subscribe;

import static loadbalancer.control.subscribe.SubscriberHarness.tenant;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import loadbalancer.control.model.Acknowledgement;
import loadbalancer.control.model.Digest;
import loadbalancer.control.model.Resource;
import loadbalancer.control.model.ResourceCodec;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.Scope;
import loadbalancer.control.model.UpdatePart;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SubscriberTest {
    private final ModelPublisher publisher = new ModelPublisher();
    private final Revision first =
            publisher.put(
                    tenant("shop", "t1", 1),
                    tenant("shop", "t2", 1),
                    tenant("shop", "t3", 1),
                    tenant("bank", "t1", 1),
                    tenant("bank", "t2", 1),
                    tenant("bank", "t3", 1));
    private final SubscriberHarness harness = SubscriberHarness.started(publisher);

    private void applyFirstRevision() {
        harness.send(publisher.snapshot(first, 2));
        harness.assertInForce(first);
    }

    @Test
    void requestsSnapshotWithoutStateAndAcknowledgesIt() {
        assertEquals(Revision.NONE, harness.lastRequest().revision());
        assertEquals(List.of(), harness.acknowledgements);
        applyFirstRevision();
        assertEquals(
                List.of(Acknowledgement.inForce("lb-1", first, publisher.digest(first))),
                harness.acknowledgements);
        assertTrue(harness.applied.get(0).isSnapshot());
        assertEquals(Set.of("shop", "bank"), harness.applied.get(0).services());
    }

    @Test
    void appliesNothingBeforeTheLastPart() {
        List<UpdatePart> parts = publisher.snapshot(first, 2);
        harness.send(parts.subList(0, parts.size() - 1));
        harness.assertInForce(Revision.NONE);
    }

    @Test
    void appliesDeltaWithDeletionsAndNotifiesTheConsumer() {
        applyFirstRevision();
        Revision second =
                publisher.change(
                        List.of(tenant("shop", "t1", 2)), List.of(tenant("shop", "t2", 1).id()));
        harness.sendDelta(second);
        harness.assertInForce(second);
        AppliedUpdate update = harness.applied.get(1);
        assertFalse(update.isSnapshot());
        assertEquals(first, update.from());
        assertEquals(
                List.of(publisher.stateAt(second).get(tenant("shop", "t1", 2).id())), update.put());
        assertEquals(List.of(tenant("shop", "t2", 1).id()), update.deleted());
        assertEquals(Set.of("shop"), update.services());
        assertEquals(second, harness.lastAcknowledgement().inForce());
    }

    @Test
    void buffersLinesAndPausesReadingDuringTheCheck() {
        applyFirstRevision();
        Revision second = publisher.put(tenant("shop", "t1", 2));
        Revision third = publisher.put(tenant("shop", "t1", 3));
        publisher
                .delta(first, second, 9)
                .forEach(p -> harness.subscriber.lineReceived(0, ResourceCodec.encode(p)));
        harness.runOnce();
        harness.runOnce();
        assertEquals(SubscriberPhase.CHECKING, harness.subscriber.status().phase());
        assertTrue(harness.paused);
        publisher
                .delta(second, third, 9)
                .forEach(p -> harness.subscriber.lineReceived(0, ResourceCodec.encode(p)));
        harness.work();
        harness.assertInForce(third);
        assertFalse(harness.paused);
    }

    @Test
    void completesTheUpdateAfterTooManyLinesEndTheConnection() {
        applyFirstRevision();
        Revision second = publisher.put(tenant("shop", "t1", 2));
        publisher
                .delta(first, second, 9)
                .forEach(p -> harness.subscriber.lineReceived(0, ResourceCodec.encode(p)));
        while (harness.subscriber.status().phase() != SubscriberPhase.CHECKING) {
            harness.runOnce();
        }
        for (int line = 0; line < 3; line++) {
            harness.subscriber.lineReceived(0, new byte[LineBuffer.MAX_LINE_BYTES]);
        }
        assertFalse(harness.open);
        harness.work();
        harness.assertInForce(second);
        harness.reconnect();
        assertEquals(second, harness.lastAcknowledgement().inForce());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                SubscriberHarness.REJECTED,
                SubscriberHarness.REJECTED_WITH_ITS_SERVICE,
                SubscriberHarness.DEFECT,
                "with space"
            })
    void rejectsUpdateAtomicallyAndAppliesItsCorrectionOnTheSameConnection(String name) {
        applyFirstRevision();
        Revision second = publisher.put(tenant("shop", "t1", 2), tenant("shop", name, 1));
        harness.sendDelta(second);
        harness.assertInForce(first);
        Acknowledgement rejected = harness.lastAcknowledgement();
        assertEquals(Acknowledgement.Status.REJECTED, rejected.status());
        assertEquals(second, rejected.rejected());
        assertNotEquals("", rejected.place());
        assertTrue(harness.subscriber.status().lastFailure().contains(rejected.reason()));
        Revision third =
                publisher.change(
                        List.of(tenant("shop", "t3", 3)), List.of(tenant("shop", name, 1).id()));
        harness.send(publisher.delta(second, third, 2));
        harness.assertInForce(third);
        assertEquals(1, harness.requests.size());
        assertEquals(
                3, harness.applied.get(1).put().size() + harness.applied.get(1).deleted().size());
    }

    @Test
    void appliesDeltaThatCorrectsRejectedSnapshot() {
        Revision second = publisher.put(tenant("shop", SubscriberHarness.REJECTED, 1));
        harness.send(publisher.snapshot(second, 2));
        harness.assertInForce(Revision.NONE);
        Revision third =
                publisher.change(
                        List.of(), List.of(tenant("shop", SubscriberHarness.REJECTED, 1).id()));
        harness.send(publisher.delta(second, third, 2));
        harness.assertInForce(third);
    }

    @Test
    void disconnectsWithBackoffIfRejectedRevisionIsRepeated() {
        applyFirstRevision();
        Revision second = publisher.put(tenant("shop", SubscriberHarness.REJECTED, 1));
        harness.sendDelta(second);
        harness.send(publisher.delta(second, second, 2));
        assertFalse(harness.open);
        long delays = 0;
        for (int attempt = 0; attempt < 12; attempt++) {
            long before = harness.now;
            harness.reconnect();
            delays = harness.now - before;
            assertEquals(first, harness.lastRequest().revision());
            harness.sendDelta(second);
            harness.end();
        }
        assertTrue(
                delays > 2 * SubscriberHarness.FIRST_RETRY_MILLIS * 1_000_000, "delay " + delays);
        harness.assertInForce(first);
    }

    @Test
    void completesTheUpdateAfterConnectionLoss() {
        applyFirstRevision();
        Revision second = publisher.put(tenant("shop", "t1", 2));
        publisher
                .delta(first, second, 9)
                .forEach(p -> harness.subscriber.lineReceived(0, ResourceCodec.encode(p)));
        harness.runOnce();
        harness.runOnce();
        harness.end();
        assertEquals(SubscriberPhase.CHECKING, harness.subscriber.status().phase());
        int before = harness.acknowledgements.size();
        while (harness.subscriber.status().phase() != SubscriberPhase.DISCONNECTED) {
            harness.subscriber.run(0);
        }
        harness.assertInForce(second);
        assertEquals(before, harness.acknowledgements.size());
        harness.reconnect();
        assertEquals(second, harness.lastRequest().revision());
        assertEquals(
                Acknowledgement.inForce("lb-1", second, publisher.digest(second)),
                harness.lastAcknowledgement());
    }

    @Test
    void completesTheUpdateWhenStoppedWhileApplying() {
        applyFirstRevision();
        Resource[] many = new Resource[20];
        for (int i = 0; i < many.length; i++) {
            many[i] = tenant("s" + i, "t", 1);
        }
        Revision second = publisher.put(many);
        publisher
                .delta(first, second, 9)
                .forEach(p -> harness.subscriber.lineReceived(0, ResourceCodec.encode(p)));
        while (!harness.subscriber.isApplying()) {
            harness.runOnce();
        }
        harness.runOnce();
        assertTrue(harness.subscriber.isApplying());
        assertEquals(first, harness.inForce());
        harness.subscriber.stop();
        assertFalse(harness.subscriber.isApplying());
        harness.assertInForce(second);
        assertEquals(Long.MAX_VALUE, harness.subscriber.run(0));
    }

    @Test
    void acknowledgesEmptyUpdateWithoutApplyingIt() {
        applyFirstRevision();
        harness.sendDelta(first);
        assertEquals(1, harness.applied.size());
        assertEquals(2, harness.acknowledgements.size());
        assertTrue(harness.open);
    }

    @Test
    void requestsSnapshotIfRestoredStateExceedsTheScope() {
        ResourceState applied = new ResourceState();
        publisher.stateAt(first).values().forEach(applied::put);
        applied.advance(first);
        SubscriberHarness other = new SubscriberHarness(publisher, Scope.of("shop"), applied, 1);
        other.subscriber.start(0);
        assertEquals(Revision.NONE, other.lastRequest().revision());
        assertEquals(Digest.EMPTY, other.lastRequest().digest());
    }
}
