package loadbalancer.control.publish;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import loadbalancer.control.model.Acknowledgement;
import loadbalancer.control.model.ResourceId;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.StateDifference;
import loadbalancer.control.model.SubscribeRequest;
import loadbalancer.control.model.VersionedResource;

/**
 * Distributes a state to subscribers. Each subscriber has a cursor in the order of the resources'
 * last changes. {@link ResourceIndex} defines that order, {@link UpdateSender} schedules the sends,
 * and {@link AdmissionControl} limits admissions. Not thread-safe. Within their methods, sinks may
 * call {@link #unsubscribe} but no other method of the publisher.
 */
public final class Publisher {
    private final ResourceState state;
    private final PublisherLimits limits;
    private final ResourceIndex index;
    private final PartAssembler assembler;
    private final UpdateSender sender;
    private final AdmissionControl admission;
    private final HeartbeatSchedule heartbeats;
    private final RejectionLog rejections;
    private final SubscriberRegistry subscribers = new SubscriberRegistry();

    /**
     * Creates a publisher of a state. The owner of the state changes it and notifies the publisher,
     * which only reads it.
     *
     * @param random the source of the jitter of retry delays
     */
    public Publisher(ResourceState state, PublisherLimits limits, RandomGenerator random) {
        this.state = state;
        this.limits = limits;
        index = new ResourceIndex(state, limits.retainedDeletions());
        assembler = new PartAssembler(state, limits.partBytes());
        sender = new UpdateSender(index, assembler, limits.bytesPerSecond());
        admission = new AdmissionControl(limits, random);
        heartbeats = new HeartbeatSchedule(limits.heartbeatMillis());
        rejections = new RejectionLog(limits.maxSubscribers());
    }

    /**
     * Notifies the publisher that the owner has applied one change, or several merged ones, to the
     * state. Must be called before any other method after the change, and be followed by {@link
     * #run}.
     *
     * @param revision the revision of the state after the change
     * @param put the resources that were added or replaced, with their own revisions
     * @param deleted the resources that no longer exist; for merged changes this includes resources
     *     that the state never had, because subscribers may have them
     */
    public void stateChanged(
            Revision revision, List<VersionedResource> put, List<ResourceId> deleted) {
        if (revision.equals(index.revision()) && put.isEmpty() && deleted.isEmpty()) {
            return;
        }
        index.apply(revision, put, deleted);
        assembler.invalidate();
        subscribers.all().forEach(sender::offer);
    }

    /**
     * Notifies the publisher that the owner has replaced the entire state. If the new state is
     * later, subscribers receive the difference as after a change; a follower that received a
     * snapshot therefore doesn't send snapshots to all of its subscribers. Otherwise subscribers
     * whose content differs from the new state receive a snapshot, and subscribers at a later
     * revision are disconnected, because a subscriber's revision never decreases.
     *
     * @param difference the difference between the previous state and the new one
     */
    public void stateReplaced(StateDifference difference) {
        boolean isLater = state.revision().isAfter(index.revision());
        if (isLater && !index.revision().equals(Revision.NONE)) {
            Revision before = index.revision();
            stateChanged(state.revision(), difference.put(), difference.deleted());
            index.addGap(new RevisionGap(before, state.revision()));
        } else {
            rebuild();
        }
    }

    private void rebuild() {
        index.rebuild(state);
        assembler.invalidate();
        for (SubscriberSession session : List.copyOf(subscribers.all())) {
            if (session.highestRevision().isAfter(index.revision())) {
                subscribers.remove(session);
                session.close(
                        "revision "
                                + session.highestRevision()
                                + " of the subscriber is later than revision "
                                + index.revision()
                                + " of the publisher");
            } else {
                session.cursor().restartAfterReplacement(index, state);
                sender.offer(session);
            }
        }
    }

    /**
     * Admits a subscriber or defers it. An admitted subscriber replaces an earlier one of the same
     * name. A subscriber at a later revision than this publisher is deferred until the publisher
     * has reached that revision. The publisher can't know whether that will happen: if accepted
     * changes were lost, it happens only after a writer of a higher epoch has made a change.
     */
    public Admission subscribe(long nowNanos, SubscribeRequest request, SubscriberSink sink) {
        if (request.revision().isAfter(index.revision())) {
            return admission.deferAhead(
                    "is at " + index.revision() + " here, before " + request.revision());
        }
        int others = subscribers.countWithout(request.subscriber());
        Optional<Admission.Deferred> deferred = admission.admit(nowNanos, others);
        if (deferred.isPresent()) {
            return deferred.get();
        }
        SubscriberSession session = newSession(nowNanos, request, sink);
        SubscriberSession replaced = subscribers.put(session);
        if (replaced != null) {
            replaced.close("replaced by a newer subscription of " + request.subscriber());
        }
        rejections.removeUpTo(session.subscriber(), session.inForce());
        heartbeats.add(nowNanos, session);
        sender.offer(session);
        return new Admission.Admitted(session);
    }

    private SubscriberSession newSession(
            long nowNanos, SubscribeRequest request, SubscriberSink sink) {
        boolean isCurrent = request.digest().equals(state.digest(request.scope()));
        boolean isDamaged = request.revision().equals(index.revision()) && !isCurrent;
        Revision inForce = isDamaged ? Revision.NONE : request.revision();
        UpdateCursor cursor =
                isCurrent
                        ? UpdateCursor.atEnd(index, request.scope(), inForce)
                        : new UpdateCursor(index, request.scope(), inForce);
        RateLimiter byteRate = RateLimiter.ofBytes(limits.subscriberBytesPerSecond());
        return new SubscriberSession(
                nowNanos, request.subscriber(), sink, cursor, byteRate, inForce);
    }

    /** Ends a subscription; its sink is no longer called. */
    public void unsubscribe(Subscription subscription) {
        if (subscription instanceof SubscriberSession session) {
            session.close();
            subscribers.remove(session);
        }
    }

    /**
     * Processes an acknowledgement or rejection from a subscriber. After a rejection the next
     * update builds on the revision in force at the subscriber and is sent once there is a revision
     * newer than the rejected one. Acknowledgements of unknown or earlier subscriptions are
     * ignored.
     */
    public void acknowledge(long nowNanos, Acknowledgement acknowledgement) {
        SubscriberSession session = subscribers.get(acknowledgement.subscriber());
        if (session == null || !session.acknowledge(acknowledgement)) {
            return;
        }
        rejections.removeUpTo(session.subscriber(), session.inForce());
        if (acknowledgement.status() == Acknowledgement.Status.REJECTED) {
            handleRejection(session, acknowledgement);
        }
    }

    private void handleRejection(SubscriberSession session, Acknowledgement acknowledgement) {
        Revision rejected = acknowledgement.rejected();
        boolean isSent =
                rejected != null
                        && rejected.isAfter(session.inForce())
                        && session.wasSent(rejected);
        if (isSent) {
            rejections.add(acknowledgement);
            session.cursor().restartAfterRejection(index, session.inForce(), rejected);
            sender.offer(session);
        }
    }

    /**
     * Sends as much as the rate limits and the connections allow now. Must be called after {@link
     * #stateChanged}, {@link #stateReplaced}, {@link #subscribe} and {@link #acknowledge}, when a
     * sink becomes writable, and when the returned time has passed.
     *
     * @return the nanoseconds after which it must be called again at the latest
     */
    public long run(long nowNanos) {
        long untilNextPart = sender.run(nowNanos);
        long untilHeartbeat =
                heartbeats.run(nowNanos, session -> sender.sendHeartbeat(nowNanos, session));
        return Math.min(untilNextPart, untilHeartbeat);
    }

    /** Returns a summary of the revisions in force at the connected subscribers. */
    public DistributionStatus status() {
        return subscribers.status(index.revision(), rejections.list());
    }
}
