package loadbalancer.control.publish;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import loadbalancer.control.model.Digest;
import loadbalancer.control.model.ResourceId;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.SubscribeRequest;
import loadbalancer.control.model.UpdatePart;
import loadbalancer.control.model.VersionedResource;
import org.junit.jupiter.api.Test;

/** What a subscriber is sent, by what it holds and by what happens meanwhile. */
class PublisherUpdateTest {
    private static final int RETAINED = PublisherBench.LIMITS.retainedDeletions();
    private final PublisherBench bench = new PublisherBench(PublisherBench.LIMITS);
    private final ModelSubscriber subscriber = bench.subscriber("lb-1");

    private UpdatePart firstAfterSubscribing() {
        int before = subscriber.received.size();
        bench.admit(subscriber);
        bench.run(1_000);
        return subscriber.received.get(before);
    }

    private void subscribeAndReceiveAll() {
        bench.putTenants("a", 30, 1);
        bench.admit(subscriber);
        bench.run(1_000);
        assertEquals(bench.revision, subscriber.applied.revision());
    }

    /** Sends the first part of a snapshot of 30 tenants, and then the connection is full. */
    private void stopInSnapshot() {
        bench.putTenants("a", 30, 1);
        subscriber.writableLines = 1;
        bench.admit(subscriber);
        bench.run(10);
        assertEquals(1, subscriber.received.size());
        assertFalse(subscriber.last().isLast());
    }

    private void receiveTheRest() {
        subscriber.writableLines = Integer.MAX_VALUE;
        bench.run(1_000);
        assertEquals(bench.revision, subscriber.applied.revision());
        assertEquals(bench.state.digest(subscriber.scope), subscriber.digest());
    }

    @Test
    void whoHoldsNothingGetsASnapshotInParts() {
        subscribeAndReceiveAll();
        assertTrue(subscriber.received.size() > 2);
        assertTrue(subscriber.received.stream().allMatch(UpdatePart::isSnapshot));
    }

    @Test
    void whoIsBehindGetsWhatChangedSince() {
        subscribeAndReceiveAll();
        bench.putTenants("a", 2, 2);
        bench.delete("a", 7);
        UpdatePart part = firstAfterSubscribing();
        assertEquals(new Revision(1, 1), part.from());
        assertEquals(2, part.put().size());
        assertEquals(1, part.delete().size());
    }

    @Test
    void whoIsCurrentIsToldSoAtOnce() {
        subscribeAndReceiveAll();
        UpdatePart part = firstAfterSubscribing();
        assertEquals(
                new UpdatePart(
                        bench.revision,
                        0,
                        List.of(),
                        List.of(),
                        new UpdatePart.Completion(
                                bench.revision, bench.state.digest(subscriber.scope))),
                part);
    }

    @Test
    void whoHoldsSomethingElseAtTheSameRevisionGetsASnapshot() {
        subscribeAndReceiveAll();
        SubscribeRequest damaged =
                new SubscribeRequest("lb-1", "", subscriber.scope, bench.revision, new Digest(1));
        subscriber.received.clear();
        bench.disconnect(subscriber);
        bench.publisher.subscribe(bench.now, damaged, subscriber);
        bench.run(1_000);
        assertTrue(subscriber.last().isSnapshot());
    }

    @Test
    void whoIsAheadIsTurnedAway() {
        subscribeAndReceiveAll();
        subscriber.applied.advance(bench.revision.next());
        Admission.Deferred deferred =
                assertInstanceOf(Admission.Deferred.class, bench.ask(subscriber));
        assertTrue(deferred.retryAfterMillis() > 0);
        assertTrue(deferred.reason().contains("1.2"), deferred.reason());
    }

    @Test
    void whoIsFromBeforeTheRememberedDeletionsGetsASnapshot() {
        subscribeAndReceiveAll();
        bench.disconnect(subscriber);
        bench.putTenants("b", RETAINED + 1, 1);
        ModelSubscriber atHorizon = bench.subscriber("lb-2");
        bench.delete("b", 0);
        bench.admit(atHorizon);
        bench.run(1_000);
        bench.disconnect(atHorizon);
        for (int i = 1; i <= RETAINED; i++) {
            bench.delete("b", i);
        }
        bench.putTenants("a", 1, 2);
        assertTrue(firstAfterSubscribing().isSnapshot());
        bench.admit(atHorizon);
        bench.run(1_000);
        assertEquals(
                new Revision(1, 3), atHorizon.lastFrom(), "all deletions since are remembered");
    }

    @Test
    void whoHoldsAllIsToldTheNewestRevisionAndNoResource() {
        subscribeAndReceiveAll();
        bench.disconnect(subscriber);
        bench.putTenants("b", RETAINED + 1, 1);
        for (int i = 0; i <= RETAINED; i++) {
            bench.delete("b", i);
        }
        UpdatePart first = firstAfterSubscribing();
        assertEquals(new Revision(1, 1), first.from());
        assertTrue(
                first.isLast() && first.put().isEmpty() && first.delete().isEmpty(),
                first::toString);
        assertEquals(bench.revision, first.completion().to());
    }

    @Test
    void whoHoldsARevisionThatAReplacedWriterToldToNobodyElseGetsASnapshot() {
        subscribeAndReceiveAll();
        bench.revision = new Revision(2, 1);
        bench.putTenants("a", 1, 3);
        subscriber.applied.advance(new Revision(1, 2));
        assertTrue(firstAfterSubscribing().isSnapshot());
        bench.putTenants("a", 1, 4);
        assertEquals(new Revision(2, 2), firstAfterSubscribing().from());
    }

    @Test
    void aRevisionBelongsToTheHistoryOnlyWithinItsEpoch() {
        EpochHistory history = new EpochHistory();
        history.add(new Revision(1, 40));
        history.add(new Revision(3, 45));
        assertTrue(history.contains(new Revision(1, 40)));
        assertFalse(history.contains(new Revision(1, 41)));
        assertFalse(history.contains(new Revision(2, 41)));
        assertFalse(history.contains(new Revision(3, 40)));
        assertTrue(history.contains(new Revision(3, 41)));
    }

    @Test
    void whatChangesDuringTheWalkIsMetAgainAtItsEnd() {
        stopInSnapshot();
        bench.putTenants("a", 1, 2);
        receiveTheRest();
        long times =
                subscriber.received.stream()
                        .flatMap(part -> part.put().stream())
                        .filter(put -> put.id().name().equals("t0"))
                        .count();
        assertEquals(2, times);
    }

    @Test
    void whatIsDeletedDuringTheWalkIsDeletedAtTheSubscriber() {
        stopInSnapshot();
        bench.delete("a", 0);
        receiveTheRest();
        assertEquals(1, subscriber.last().delete().size());
    }

    @Test
    void aWalkThatMissesAForgottenDeletionStartsAnew() {
        stopInSnapshot();
        bench.putTenants("b", RETAINED, 1);
        bench.delete("a", 0);
        for (int i = 0; i < RETAINED; i++) {
            bench.delete("b", i);
        }
        receiveTheRest();
        assertEquals(2, subscriber.received.stream().filter(part -> part.part() == 0).count());
    }

    @Test
    void discardingDeletionsFromBeforeASnapshotDoesNotRestartIt() {
        bench.putTenants("b", RETAINED, 1);
        for (int i = 0; i < RETAINED; i++) {
            bench.delete("b", i);
        }
        stopInSnapshot();
        bench.delete("a", 0);
        receiveTheRest();
        assertEquals(1, subscriber.received.stream().filter(part -> part.part() == 0).count());
    }

    @Test
    void aStateReplacedAtItsOwnRevisionIsSentAsSnapshot() {
        subscribeAndReceiveAll();
        bench.replaceState(state -> state.delete(PublisherBench.tenant("a", 3, 0).id()));
        bench.run(1_000);
        assertTrue(subscriber.last().isSnapshot());
        assertEquals(bench.state.digest(subscriber.scope), subscriber.digest());
        int parts = subscriber.received.size();
        bench.replaceState(state -> {});
        bench.run(1_000);
        assertEquals(
                parts, subscriber.received.size(), "whoever holds the new state is sent nothing");
    }

    @Test
    void aChangeMergedFromSeveralIsFollowedFromWithin() {
        subscribeAndReceiveAll();
        bench.disconnect(subscriber);
        Revision from = bench.revision.next();
        Revision to = from.next();
        VersionedResource early = new VersionedResource(from, PublisherBench.tenant("a", 0, 5));
        VersionedResource late = new VersionedResource(to, PublisherBench.tenant("a", 1, 5));
        ResourceId neverExisted = PublisherBench.tenant("a", 99, 0).id();
        bench.state.put(early);
        bench.state.put(late);
        bench.state.advance(to);
        bench.publisher.changed(to, List.of(late, early), List.of(neverExisted));
        subscriber.applied.put(early);
        subscriber.applied.advance(from);
        UpdatePart part = firstAfterSubscribing();
        assertEquals(from, part.from());
        assertEquals(List.of(late), part.put());
        assertEquals(List.of(neverExisted), part.delete());
    }

    @Test
    void anEmptyStateIsNotSentButItsFirstChangeIs() {
        ResourceState empty = new ResourceState();
        Publisher publisher = new Publisher(empty, PublisherBench.LIMITS, new Random(1));
        publisher.subscribe(bench.now, subscriber.request(), subscriber);
        publisher.run(bench.now);
        assertEquals(0, subscriber.received.size());
        VersionedResource first =
                new VersionedResource(new Revision(1, 1), PublisherBench.tenant("a", 0, 1));
        empty.put(first);
        empty.advance(first.revision());
        publisher.changed(first.revision(), List.of(first), List.of());
        publisher.run(bench.now);
        assertEquals(List.of(first), subscriber.last().put());
    }

    @Test
    void aSecondSubscriptionOfTheSameNameClosesTheFirst() {
        bench.admit(subscriber);
        ModelSubscriber second = bench.subscriber("lb-1");
        bench.admit(second);
        assertNotNull(subscriber.closed);
        bench.disconnect(subscriber);
        bench.putTenants("a", 1, 1);
        bench.run(10);
        assertEquals(0, subscriber.received.size());
        assertEquals(1, second.received.size());
        assertEquals(1, bench.publisher.status().subscribers());
    }

    /**
     * A writer that was restarted knows no deletions, and its new epoch begins behind what all
     * hold.
     */
    @Test
    void whoHoldsEverythingGetsNoSnapshotFromARestartedWriter() {
        subscribeAndReceiveAll();
        bench.delete("a", 3);
        bench.run(1_000);
        bench.disconnect(subscriber);
        Revision applied = bench.revision;
        bench.state.advance(new Revision(2, applied.number()));
        Publisher restarted = new Publisher(bench.state, PublisherBench.LIMITS, new Random(2));
        subscriber.received.clear();
        restarted.subscribe(bench.now, subscriber.request(), subscriber);
        restarted.run(bench.now);
        assertEquals(
                List.of(
                        new UpdatePart(
                                applied,
                                0,
                                List.of(),
                                List.of(),
                                new UpdatePart.Completion(
                                        bench.state.revision(),
                                        bench.state.digest(subscriber.scope)))),
                subscriber.received);
    }

    /** A follower that took a snapshot from a restarted writer. */
    @Test
    void subscribersAreSentWhatDiffersAfterTheStateWasReplacedByALaterOne() {
        subscribeAndReceiveAll();
        Revision before = bench.revision;
        Revision next = new Revision(2, before.number() + 1);
        subscriber.received.clear();
        bench.replaceState(
                state -> {
                    state.delete(PublisherBench.tenant("a", 4, 1).id());
                    state.put(new VersionedResource(next, PublisherBench.tenant("a", 5, 9)));
                    state.advance(next);
                });
        bench.run(1_000);
        assertEquals(1, subscriber.received.size());
        assertEquals(before, subscriber.last().from());
        assertEquals(1, subscriber.last().put().size());
        assertEquals(1, subscriber.last().delete().size());
        assertEquals(bench.state.digest(subscriber.scope), subscriber.digest());
    }

    /** It may hold what was added and deleted again while this publisher was away. */
    @Test
    void aSubscriberAtARevisionInAGapGetsASnapshot() {
        subscribeAndReceiveAll();
        Revision before = bench.revision;
        Revision between = before.next();
        Revision next = between.next();
        bench.replaceState(
                state -> {
                    state.put(new VersionedResource(next, PublisherBench.tenant("a", 5, 9)));
                    state.advance(next);
                });
        bench.run(1_000);
        ModelSubscriber ahead = bench.subscriber("lb-2");
        ahead.applied.put(new VersionedResource(between, PublisherBench.tenant("a", 99, 1)));
        ahead.applied.advance(between);
        bench.admit(ahead);
        bench.run(1_000);
        assertTrue(ahead.received.get(0).isSnapshot());
        assertEquals(bench.state.digest(ahead.scope), ahead.digest());
    }
}
