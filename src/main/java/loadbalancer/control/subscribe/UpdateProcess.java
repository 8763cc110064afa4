package loadbalancer.control.subscribe;

import loadbalancer.control.model.Digest;
import loadbalancer.control.model.InvalidChangeException;
import loadbalancer.control.model.ResourceCodec;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.UpdatePart;

/**
 * One update from its first part until it is in force, in slices: collected, checked, applied.
 * Nothing in force changes before {@link #apply}, and by then revision, digest and content are
 * checked. For one thread.
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
     * Adds a line that waits to be collected.
     *
     * @throws SubscriptionException if it exceeds the bounds
     */
    void add(byte[] line) throws SubscriptionException {
        lines.add(line);
    }

    /** Whether lines or resources wait to be collected. */
    boolean hasWork() {
        return !lines.isEmpty() || collector.isStaging();
    }

    /** Whether so many lines wait that reading should be paused. */
    boolean hasManyLines() {
        return lines.isFull();
    }

    /**
     * Parses a line if no resources wait, and stages a slice of them; true once the update is
     * complete.
     *
     * @throws SubscriptionException if a line can't be parsed or is no part of this update
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
            throw new SubscriptionException("a line that can't be read: " + e.getMessage());
        }
    }

    /** The revision that the complete update leads to. */
    Revision target() {
        return collector.completion().to();
    }

    /** Whether the complete update leads to what is in force already. */
    boolean isAlreadyApplied() {
        return target().equals(applied.revision())
                && collector.completion().digest().equals(applied.digest())
                && !applied.isSnapshotNeeded();
    }

    /**
     * Begins to check the complete update.
     *
     * @throws SubscriptionException if its revision doesn't follow the one in force
     * @throws SnapshotRequiredException if a delta doesn't lead to the digest that it names
     * @throws InvalidChangeException if a snapshot doesn't have the digest that it names
     */
    void beginCheck() throws SubscriptionException, InvalidChangeException {
        checkRevision();
        checkDigest();
        check = new UpdateCheck(collector.update(), consumer);
    }

    private void checkRevision() throws SubscriptionException {
        if (applied.revision().isAfter(target())) {
            throw new SubscriptionException(
                    "the server is behind: its update leads to "
                            + target()
                            + " while "
                            + applied.revision()
                            + " is in force");
        }
        if (collector.rejected() != null && !target().isAfter(collector.rejected())) {
            throw new SubscriptionException(
                    "an update to " + target() + " after one to " + collector.rejected());
        }
        if (target().equals(applied.revision()) && !collector.isSnapshot()) {
            throw new SnapshotRequiredException(
                    "the digest of revision "
                            + target()
                            + " at the server differs from what is in force");
        }
    }

    private void checkDigest() throws SubscriptionException, InvalidChangeException {
        Digest named = collector.completion().digest();
        Digest staged = collector.update().digest();
        if (named.equals(staged)) {
            return;
        }
        String reason = "its digest is " + staged + " instead of " + named;
        if (collector.isSnapshot()) {
            throw new InvalidChangeException("snapshot " + target(), reason);
        }
        throw new SnapshotRequiredException("update to " + target() + ": " + reason);
    }

    /**
     * Checks a slice; true once all is checked.
     *
     * @throws InvalidChangeException with the first resource that is rejected
     */
    boolean check() throws InvalidChangeException {
        boolean isChecked = check.run(sliceResources);
        if (isChecked) {
            check = null;
            application = collector.update().application();
        }
        return isChecked;
    }

    /** Keeps the rejected update staged for the next one to build on. */
    void retainRejected() {
        check = null;
        collector.retainRejected();
    }

    /** Applies a slice; true once the update is in force and the consumer has been notified. */
    boolean apply() {
        boolean isApplied = application.run(sliceResources);
        if (isApplied) {
            putInForce();
        }
        return isApplied;
    }

    private void putInForce() {
        AppliedUpdate done =
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
        consumer.updateApplied(done, applied.state());
    }

    /** Discards the lines that wait. */
    void clearLines() {
        lines.clear();
    }

    /** Discards the update and all its parts, but not the lines that wait. */
    void clear() {
        collector.clear();
        check = null;
        application = null;
    }
}
