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

/** Tests which updates a subscriber is sent, depending on its state and on concurrent changes. */
class PublisherUpdateTest {
    private static final int RETAINED = PublisherFixture.LIMITS.retainedDeletions();
    private final PublisherFixture fixture = new PublisherFixture(PublisherFixture.LIMITS);
    private final ModelSubscriber subscriber = fixture.subscriber("lb-1");

    private UpdatePart firstAfterSubscribing() {
        int before = subscriber.received.size();
        fixture.admit(subscriber);
        fixture.run(1_000);
        return subscriber.received.get(before);
    }

    private void subscribeAndReceiveAll() {
        fixture.putTenants("a", 30, 1);
        fixture.admit(subscriber);
        fixture.run(1_000);
        assertEquals(fixture.revision, subscriber.applied.revision());
    }

    /** Sends the first part of a snapshot of 30 tenants, then makes the connection not writable. */
    private void blockAfterFirstPartOfSnapshot() {
        fixture.putTenants("a", 30, 1);
        subscriber.writableLines = 1;
        fixture.admit(subscriber);
        fixture.run(10);
        assertEquals(1, subscriber.received.size());
        assertFalse(subscriber.last().isLast());
    }

    private void receiveRemainingParts() {
        subscriber.writableLines = Integer.MAX_VALUE;
        fixture.run(1_000);
        assertEquals(fixture.revision, subscriber.applied.revision());
        assertEquals(fixture.state.digest(subscriber.scope), subscriber.digest());
    }

    @Test
    void sendsSnapshotInPartsToSubscriberWithoutState() {
        subscribeAndReceiveAll();
        assertTrue(subscriber.received.size() > 2);
        assertTrue(subscriber.received.stream().allMatch(UpdatePart::isSnapshot));
    }

    @Test
    void sendsDeltaToSubscriberThatIsBehind() {
        subscribeAndReceiveAll();
        fixture.putTenants("a", 2, 2);
        fixture.delete("a", 7);
        UpdatePart part = firstAfterSubscribing();
        assertEquals(new Revision(1, 1), part.from());
        assertEquals(2, part.put().size());
        assertEquals(1, part.delete().size());
    }

    @Test
    void sendsEmptyUpdateToCurrentSubscriber() {
        subscribeAndReceiveAll();
        UpdatePart part = firstAfterSubscribing();
        assertEquals(
                new UpdatePart(
                        fixture.revision,
                        0,
                        List.of(),
                        List.of(),
                        new UpdatePart.Completion(
                                fixture.revision, fixture.state.digest(subscriber.scope))),
                part);
    }

    @Test
    void sendsSnapshotAfterDigestMismatchAtSameRevision() {
        subscribeAndReceiveAll();
        SubscribeRequest damaged =
                new SubscribeRequest("lb-1", "", subscriber.scope, fixture.revision, new Digest(1));
        subscriber.received.clear();
        fixture.disconnect(subscriber);
        fixture.publisher.subscribe(fixture.now, damaged, subscriber);
        fixture.run(1_000);
        assertTrue(subscriber.last().isSnapshot());
    }

    @Test
    void defersSubscriberAtLaterRevision() {
        subscribeAndReceiveAll();
        subscriber.applied.advance(fixture.revision.next());
        Admission.Deferred deferred =
                assertInstanceOf(Admission.Deferred.class, fixture.subscribe(subscriber));
        assertTrue(deferred.retryAfterMillis() > 0);
        assertTrue(deferred.reason().contains("1.2"), deferred.reason());
    }

    @Test
    void sendsSnapshotToSubscriberOlderThanRetainedDeletions() {
        subscribeAndReceiveAll();
        fixture.disconnect(subscriber);
        fixture.putTenants("b", RETAINED + 1, 1);
        ModelSubscriber atHorizon = fixture.subscriber("lb-2");
        fixture.delete("b", 0);
        fixture.admit(atHorizon);
        fixture.run(1_000);
        fixture.disconnect(atHorizon);
        for (int i = 1; i <= RETAINED; i++) {
            fixture.delete("b", i);
        }
        fixture.putTenants("a", 1, 2);
        assertTrue(firstAfterSubscribing().isSnapshot());
        fixture.admit(atHorizon);
        fixture.run(1_000);
        assertEquals(new Revision(1, 3), atHorizon.lastFrom(), "all later deletions are retained");
    }

    @Test
    void sendsOnlyTheRevisionToSubscriberWithAllResources() {
        subscribeAndReceiveAll();
        fixture.disconnect(subscriber);
        fixture.putTenants("b", RETAINED + 1, 1);
        for (int i = 0; i <= RETAINED; i++) {
            fixture.delete("b", i);
        }
        UpdatePart first = firstAfterSubscribing();
        assertEquals(new Revision(1, 1), first.from());
        assertTrue(
                first.isLast() && first.put().isEmpty() && first.delete().isEmpty(),
                first::toString);
        assertEquals(fixture.revision, first.completion().to());
    }

    @Test
    void sendsSnapshotToSubscriberWithRevisionUnknownToTheSuccessor() {
        subscribeAndReceiveAll();
        fixture.revision = new Revision(2, 1);
        fixture.putTenants("a", 1, 3);
        subscriber.applied.advance(new Revision(1, 2));
        assertTrue(firstAfterSubscribing().isSnapshot());
        fixture.putTenants("a", 1, 4);
        assertEquals(new Revision(2, 2), firstAfterSubscribing().from());
    }

    @Test
    void historyContainsRevisionOnlyWithinItsEpoch() {
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
    void resendsResourceThatChangedDuringTheSnapshot() {
        blockAfterFirstPartOfSnapshot();
        fixture.putTenants("a", 1, 2);
        receiveRemainingParts();
        long times =
                subscriber.received.stream()
                        .flatMap(part -> part.put().stream())
                        .filter(put -> put.id().name().equals("t0"))
                        .count();
        assertEquals(2, times);
    }

    @Test
    void sendsDeletionThatHappenedDuringTheSnapshot() {
        blockAfterFirstPartOfSnapshot();
        fixture.delete("a", 0);
        receiveRemainingParts();
        assertEquals(1, subscriber.last().delete().size());
    }

    @Test
    void restartsSnapshotIfNeededDeletionIsDiscarded() {
        blockAfterFirstPartOfSnapshot();
        fixture.putTenants("b", RETAINED, 1);
        fixture.delete("a", 0);
        for (int i = 0; i < RETAINED; i++) {
            fixture.delete("b", i);
        }
        receiveRemainingParts();
        assertEquals(2, subscriber.received.stream().filter(part -> part.part() == 0).count());
    }

    @Test
    void continuesSnapshotIfOnlyEarlierDeletionsAreDiscarded() {
        fixture.putTenants("b", RETAINED, 1);
        for (int i = 0; i < RETAINED; i++) {
            fixture.delete("b", i);
        }
        blockAfterFirstPartOfSnapshot();
        fixture.delete("a", 0);
        receiveRemainingParts();
        assertEquals(1, subscriber.received.stream().filter(part -> part.part() == 0).count());
    }

    @Test
    void sendsSnapshotAfterReplacementAtTheSameRevision() {
        subscribeAndReceiveAll();
        fixture.replaceState(state -> state.delete(PublisherFixture.tenant("a", 3, 0).id()));
        fixture.run(1_000);
        assertTrue(subscriber.last().isSnapshot());
        assertEquals(fixture.state.digest(subscriber.scope), subscriber.digest());
        int parts = subscriber.received.size();
        fixture.replaceState(state -> {});
        fixture.run(1_000);
        assertEquals(
                parts,
                subscriber.received.size(),
                "a subscriber with the new state is sent nothing");
    }

    @Test
    void sendsDeltaFromRevisionWithinMergedChange() {
        subscribeAndReceiveAll();
        fixture.disconnect(subscriber);
        Revision from = fixture.revision.next();
        Revision to = from.next();
        VersionedResource early = new VersionedResource(from, PublisherFixture.tenant("a", 0, 5));
        VersionedResource late = new VersionedResource(to, PublisherFixture.tenant("a", 1, 5));
        ResourceId neverExisted = PublisherFixture.tenant("a", 99, 0).id();
        fixture.state.put(early);
        fixture.state.put(late);
        fixture.state.advance(to);
        fixture.publisher.stateChanged(to, List.of(late, early), List.of(neverExisted));
        subscriber.applied.put(early);
        subscriber.applied.advance(from);
        UpdatePart part = firstAfterSubscribing();
        assertEquals(from, part.from());
        assertEquals(List.of(late), part.put());
        assertEquals(List.of(neverExisted), part.delete());
    }

    @Test
    void sendsFirstChangeButNotTheEmptyState() {
        ResourceState empty = new ResourceState();
        Publisher publisher = new Publisher(empty, PublisherFixture.LIMITS, new Random(1));
        publisher.subscribe(fixture.now, subscriber.request(), subscriber);
        publisher.run(fixture.now);
        assertEquals(0, subscriber.received.size());
        VersionedResource first =
                new VersionedResource(new Revision(1, 1), PublisherFixture.tenant("a", 0, 1));
        empty.put(first);
        empty.advance(first.revision());
        publisher.stateChanged(first.revision(), List.of(first), List.of());
        publisher.run(fixture.now);
        assertEquals(List.of(first), subscriber.last().put());
    }

    @Test
    void closesEarlierSubscriptionOfTheSameName() {
        fixture.admit(subscriber);
        ModelSubscriber second = fixture.subscriber("lb-1");
        fixture.admit(second);
        assertNotNull(subscriber.closeReason);
        fixture.disconnect(subscriber);
        fixture.putTenants("a", 1, 1);
        fixture.run(10);
        assertEquals(0, subscriber.received.size());
        assertEquals(1, second.received.size());
        assertEquals(1, fixture.publisher.status().subscribers());
    }

    /** A restarted writer has no retained deletions and starts a new epoch after all revisions. */
    @Test
    void sendsNoSnapshotAfterRestartToSubscriberWithAllResources() {
        subscribeAndReceiveAll();
        fixture.delete("a", 3);
        fixture.run(1_000);
        fixture.disconnect(subscriber);
        Revision applied = fixture.revision;
        fixture.state.advance(new Revision(2, applied.number()));
        Publisher restarted = new Publisher(fixture.state, PublisherFixture.LIMITS, new Random(2));
        subscriber.received.clear();
        restarted.subscribe(fixture.now, subscriber.request(), subscriber);
        restarted.run(fixture.now);
        assertEquals(
                List.of(
                        new UpdatePart(
                                applied,
                                0,
                                List.of(),
                                List.of(),
                                new UpdatePart.Completion(
                                        fixture.state.revision(),
                                        fixture.state.digest(subscriber.scope)))),
                subscriber.received);
    }

    /** A follower replaces its state after it received a snapshot from a restarted writer. */
    @Test
    void sendsDeltaAfterReplacementByLaterState() {
        subscribeAndReceiveAll();
        Revision before = fixture.revision;
        Revision next = new Revision(2, before.number() + 1);
        subscriber.received.clear();
        fixture.replaceState(
                state -> {
                    state.delete(PublisherFixture.tenant("a", 4, 1).id());
                    state.put(new VersionedResource(next, PublisherFixture.tenant("a", 5, 9)));
                    state.advance(next);
                });
        fixture.run(1_000);
        assertEquals(1, subscriber.received.size());
        assertEquals(before, subscriber.last().from());
        assertEquals(1, subscriber.last().put().size());
        assertEquals(1, subscriber.last().delete().size());
        assertEquals(fixture.state.digest(subscriber.scope), subscriber.digest());
    }

    /** The subscriber may have resources that were added and deleted again within the gap. */
    @Test
    void sendsSnapshotToSubscriberAtRevisionInGap() {
        subscribeAndReceiveAll();
        Revision before = fixture.revision;
        Revision between = before.next();
        Revision next = between.next();
        fixture.replaceState(
                state -> {
                    state.put(new VersionedResource(next, PublisherFixture.tenant("a", 5, 9)));
                    state.advance(next);
                });
        fixture.run(1_000);
        ModelSubscriber ahead = fixture.subscriber("lb-2");
        ahead.applied.put(new VersionedResource(between, PublisherFixture.tenant("a", 99, 1)));
        ahead.applied.advance(between);
        fixture.admit(ahead);
        fixture.run(1_000);
        assertTrue(ahead.received.get(0).isSnapshot());
        assertEquals(fixture.state.digest(ahead.scope), ahead.digest());
    }
}
