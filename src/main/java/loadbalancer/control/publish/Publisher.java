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
 * Distributes a state to subscribers. Each subscriber is a cursor in the order of the resources'
 * last changes; see {@link ResourceIndex} for the order, {@link UpdateSender} for what is sent
 * when, and {@link AdmissionControl} for who is admitted. For one thread; sinks may call {@link
 * #unsubscribe} from within any of their methods, and nothing else.
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
     * Publishes a state that its owner changes; the publisher only reads it.
     *
     * @param random for the jitter of retries
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
     * The owner has applied one change, or several merged, that led to a revision. To be called
     * before anything else, and followed by {@link #run}.
     *
     * @param put resources that were added or replaced, with their own revisions
     * @param deleted resources that no longer exist; of merged changes also those that the state
     *     never had, as subscribers may have them
     */
    public void changed(Revision revision, List<VersionedResource> put, List<ResourceId> deleted) {
        if (revision.equals(index.revision()) && put.isEmpty() && deleted.isEmpty()) {
            return;
        }
        index.apply(revision, put, deleted);
        assembler.invalidate();
        subscribers.all().forEach(sender::offer);
    }

    /**
     * The owner has replaced the whole state. Where the new one is later, subscribers are sent what
     * differs, as after a change; so a follower that took a snapshot doesn't pass snapshots on to
     * all of its subscribers. Otherwise those that don't have exactly the new one are sent a
     * snapshot, and those at a later revision are disconnected, as a revision never goes back.
     *
     * @param difference of the new state from the one before
     */
    public void replaced(StateDifference difference) {
        boolean isLater = state.revision().isAfter(index.revision());
        if (isLater && !index.revision().equals(Revision.NONE)) {
            Revision before = index.revision();
            changed(state.revision(), difference.put(), difference.deleted());
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
                        "is at "
                                + session.highestRevision()
                                + ", after "
                                + index.revision()
                                + " here");
            } else {
                session.cursor().stateReplaced(index, state);
                sender.offer(session);
            }
        }
    }

    /**
     * Admits a subscriber or defers it. An admitted one replaces an earlier one of the same name.
     * One at a later revision than this publisher is deferred until the state here has passed it. A
     * publisher can't know whether that will ever be: after the loss of accepted changes it is so
     * only once a writer of a higher epoch has made a change.
     */
    public Admission subscribe(long nowNanos, SubscribeRequest request, SubscriberSink sink) {
        if (request.revision().isAfter(index.revision())) {
            return admission.ahead(
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
            replaced.close("replaced by a new subscription of " + request.subscriber());
        }
        rejections.inForce(session.subscriber(), session.inForce());
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

    /** Ends a subscription; its sink is not called any more. */
    public void unsubscribe(Subscription subscription) {
        if (subscription instanceof SubscriberSession session) {
            session.close();
            subscribers.remove(session);
        }
    }

    /**
     * A subscriber has acknowledged or rejected an update. After a rejection the next update builds
     * on what is in force there, and is sent once there is something newer than what was rejected.
     * Acknowledgements of unknown or earlier subscriptions are ignored.
     */
    public void acknowledge(long nowNanos, Acknowledgement acknowledgement) {
        SubscriberSession session = subscribers.get(acknowledgement.subscriber());
        if (session == null || !session.acknowledge(acknowledgement)) {
            return;
        }
        rejections.inForce(session.subscriber(), session.inForce());
        if (acknowledgement.status() == Acknowledgement.Status.REJECTED) {
            rejected(session, acknowledgement);
        }
    }

    private void rejected(SubscriberSession session, Acknowledgement acknowledgement) {
        Revision rejected = acknowledgement.rejected();
        boolean isSent =
                rejected != null
                        && rejected.isAfter(session.inForce())
                        && session.wasSent(rejected);
        if (isSent) {
            rejections.add(acknowledgement);
            session.cursor().rejected(index, session.inForce(), rejected);
            sender.offer(session);
        }
    }

    /**
     * Sends what limits and connections allow now. To be called after {@link #changed}, {@link
     * #replaced}, {@link #subscribe} and {@link #acknowledge}, when a sink becomes writable, and
     * when the time is up.
     *
     * @return nanoseconds until it wants to be called again at the latest
     */
    public long run(long nowNanos) {
        long untilNextPart = sender.run(nowNanos);
        long untilHeartbeat =
                heartbeats.run(nowNanos, session -> sender.sendHeartbeat(nowNanos, session));
        return Math.min(untilNextPart, untilHeartbeat);
    }

    /** The status of the subscribers. */
    public DistributionStatus status() {
        return subscribers.status(index.revision(), rejections.list());
    }
}
