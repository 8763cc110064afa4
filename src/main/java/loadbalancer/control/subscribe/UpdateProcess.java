package loadbalancer.control.subscribe;

import loadbalancer.control.model.Digest;
import loadbalancer.control.model.InvalidChangeException;
import loadbalancer.control.model.ResourceCodec;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.UpdatePart;

/**
 * Processes an update from its first part until it is in force, in slices: collects, checks and
 * applies it. The state in force doesn't change before {@link #apply}, which is called only after
 * revision, digest and content are checked. Not thread-safe.
 */
final class UpdateProcess {
    private final int sliceResources;
    private final UpdateConsumer consumer;
    private final AppliedState applied;
    private final LineBuffer lines = new LineBuffer();
    private final UpdateCollector collector;
    private UpdateCheck check;
    private UpdateApplication application;

    UpdateProcess(SubscriberSettings settings, UpdateConsumer consumer, AppliedState applied) {
        this.sliceResources = settings.sliceResources();
        this.consumer = consumer;
        this.applied = applied;
        this.collector = new UpdateCollector(settings.scope());
    }

    /**
     * Buffers a line until it is collected.
     *
     * @throws SubscriptionException if the line or the buffer exceeds its maximum size
     */
    void add(byte[] line) throws SubscriptionException {
        lines.add(line);
    }

    /** Returns whether lines or resources are still to be collected. */
    boolean hasWork() {
        return !lines.isEmpty() || collector.isStaging();
    }

    /** Returns whether reading should be paused because of the size of the buffered lines. */
    boolean hasManyLines() {
        return lines.isFull();
    }

    /**
     * Parses the next line if all resources of the previous one are staged, then stages a slice of
     * resources. Returns whether the update is complete.
     *
     * @throws SubscriptionException if a line is malformed or doesn't belong to this update
     */
    boolean collect() throws SubscriptionException {
        byte[] line = collector.isStaging() ? null : lines.poll();
        if (line != null) {
            collector.begin(read(line), line.length, applied.state());
        }
        collector.stage(sliceResources);
        return collector.isComplete();
    }

    private static UpdatePart read(byte[] line) throws SubscriptionException {
        try {
            return ResourceCodec.readUpdatePart(line);
        } catch (InvalidChangeException e) {
            throw new SubscriptionException("malformed line: " + e.getMessage());
        }
    }

    /** Returns the target revision of the complete update. */
    Revision target() {
        return collector.completion().to();
    }

    /** Returns whether the target of the complete update is already in force. */
    boolean isAlreadyApplied() {
        return target().equals(applied.revision())
                && collector.completion().digest().equals(applied.digest())
                && !applied.isSnapshotNeeded();
    }

    /**
     * Begins to check the complete update.
     *
     * @throws SubscriptionException if its revision is not later than the one in force
     * @throws SnapshotRequiredException if the digest after a delta differs from the declared one
     * @throws InvalidChangeException if the digest of a snapshot differs from the declared one
     */
    void beginCheck() throws SubscriptionException, InvalidChangeException {
        checkRevision();
        checkDigest();
        check = new UpdateCheck(collector.update(), consumer);
    }

    private void checkRevision() throws SubscriptionException {
        if (applied.revision().isAfter(target())) {
            throw new SubscriptionException(
                    "the server is behind: its update has revision "
                            + target()
                            + " while "
                            + applied.revision()
                            + " is in force");
        }
        if (collector.rejected() != null && !target().isAfter(collector.rejected())) {
            throw new SubscriptionException(
                    "update to " + target() + " follows an update to " + collector.rejected());
        }
        if (target().equals(applied.revision()) && !collector.isSnapshot()) {
            throw new SnapshotRequiredException(
                    "the digest of revision "
                            + target()
                            + " at the server differs from what is in force");
        }
    }

    private void checkDigest() throws SubscriptionException, InvalidChangeException {
        Digest declared = collector.completion().digest();
        Digest staged = collector.update().digest();
        if (declared.equals(staged)) {
            return;
        }
        String reason = "its digest is " + staged + ", expected " + declared;
        if (collector.isSnapshot()) {
            throw new InvalidChangeException("snapshot " + target(), reason);
        }
        throw new SnapshotRequiredException("update to " + target() + ": " + reason);
    }

    /**
     * Checks a slice; returns whether the update is checked completely.
     *
     * @throws InvalidChangeException with the first resource or service that is rejected
     */
    boolean check() throws InvalidChangeException {
        boolean isChecked = check.run(sliceResources);
        if (isChecked) {
            check = null;
            application = collector.update().application();
        }
        return isChecked;
    }

    /** Keeps the rejected update staged, so the next one can build on it. */
    void retainRejected() {
        check = null;
        collector.retainRejected();
    }

    /** Applies a slice; returns whether the update is in force and the consumer was notified. */
    boolean apply() {
        boolean isApplied = application.run(sliceResources);
        if (isApplied) {
            putInForce();
        }
        return isApplied;
    }

    private void putInForce() {
        AppliedUpdate appliedUpdate =
                new AppliedUpdate(
                        applied.revision(),
                        target(),
                        application.isSnapshot(),
                        application.put(),
                        application.deleted(),
                        collector.update().services());
        application.result().advance(target());
        applied.replace(application.result());
        clear();
        consumer.updateApplied(appliedUpdate, applied.state());
    }

    /** Discards the buffered lines. */
    void clearLines() {
        lines.clear();
    }

    /** Discards the update and all its parts, but not the buffered lines. */
    void clear() {
        collector.clear();
        check = null;
        application = null;
    }
}
