package loadbalancer.control.subscribe;

import loadbalancer.control.model.Digest;
import loadbalancer.control.model.InvalidChangeException;
import loadbalancer.control.model.ResourceCodec;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.UpdatePart;

/**
 * The way of one update from its first part until it is in force, in slices. Nothing that is in
 * force changes before {@link #apply}, and by then revision, digest and content are checked.
 */
final class UpdateProcess {
    private final int sliceResources;
    private final UpdateConsumer consumer;
    private final HeldState held;
    private final LineBuffer lines = new LineBuffer();
    private final UpdateCollector collector;
    private UpdateCheck check;
    private UpdateApplication application;

    UpdateProcess(SubscriberSettings settings, UpdateConsumer consumer, HeldState held) {
        this.sliceResources = settings.sliceResources();
        this.consumer = consumer;
        this.held = held;
        this.collector = new UpdateCollector(settings.scope());
    }

    /** A line that waits to be collected. */
    void add(byte[] line) throws SubscriptionException {
        lines.add(line);
    }

    /** Whether lines or resources wait to be collected. */
    boolean hasWork() {
        return !lines.isEmpty() || collector.isStaging();
    }

    /** Whether so many lines wait that no more should be read. */
    boolean hasManyLines() {
        return lines.isFull();
    }

    /**
     * Reads a line if no resources wait, and stages a slice of them; whether the update is
     * complete.
     */
    boolean collect() throws SubscriptionException {
        byte[] line = collector.isStaging() ? null : lines.poll();
        if (line != null) {
            collector.begin(read(line), line.length, held.state());
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

    /**
     * Whether the complete update leads to what is in force already, which needs no replacement.
     */
    boolean leadsToHeld() {
        return target().equals(held.revision())
                && collector.completion().digest().equals(held.digest())
                && !held.isSnapshotNeeded();
    }

    /**
     * Begins to check the complete update.
     *
     * @throws SubscriptionException if it doesn't lead forward, or a delta not to the digest that
     *     it names
     * @throws InvalidChangeException if a snapshot doesn't have the digest that it names
     */
    void beginCheck() throws SubscriptionException, InvalidChangeException {
        checkRevision();
        checkDigest();
        check = new UpdateCheck(collector.update(), consumer);
    }

    private void checkRevision() throws SubscriptionException {
        if (held.revision().isAfter(target())) {
            throw new SubscriptionException(
                    "the server is behind: its update leads to "
                            + target()
                            + " while "
                            + held.revision()
                            + " is in force");
        }
        if (collector.refused() != null && !target().isAfter(collector.refused())) {
            throw new SubscriptionException(
                    "an update to " + target() + " after one to " + collector.refused());
        }
        if (target().equals(held.revision()) && !collector.isSnapshot()) {
            throw SubscriptionException.needingSnapshot(
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
        throw SubscriptionException.needingSnapshot("update to " + target() + ": " + reason);
    }

    /** Checks a slice; whether all is checked. Fails with the first complaint. */
    boolean check() throws InvalidChangeException {
        boolean isChecked = check.run(sliceResources);
        if (isChecked) {
            check = null;
            application = collector.update().application();
        }
        return isChecked;
    }

    /** Keeps the refused update staged for the next one to build on. */
    void keepRefused() {
        check = null;
        collector.keepRefused();
    }

    /**
     * Applies a slice; whether the update is in force, of which the consumer has then been told.
     */
    boolean apply() {
        boolean isApplied = application.run(sliceResources);
        if (isApplied) {
            putInForce();
        }
        return isApplied;
    }

    private void putInForce() {
        AppliedUpdate applied =
                new AppliedUpdate(
                        held.revision(),
                        target(),
                        application.isSnapshot(),
                        application.put(),
                        application.deleted(),
                        collector.update().services());
        application.result().advance(target());
        held.replace(application.result());
        clear();
        consumer.inForce(applied, held.state());
    }

    /** Forgets the lines that wait. */
    void clearLines() {
        lines.clear();
    }

    /** Forgets the update and all its parts, but not the lines that wait. */
    void clear() {
        collector.clear();
        check = null;
        application = null;
    }
}
