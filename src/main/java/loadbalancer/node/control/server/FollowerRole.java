package loadbalancer.node.control.server;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import loadbalancer.control.model.ResourceState;
import loadbalancer.control.model.Revision;
import loadbalancer.control.model.Scope;
import loadbalancer.control.model.VersionedResource;
import loadbalancer.control.subscribe.AppliedUpdate;
import loadbalancer.control.subscribe.ResourceView;
import loadbalancer.control.subscribe.Subscriber;
import loadbalancer.control.subscribe.SubscriberSettings;
import loadbalancer.control.subscribe.UpdateConsumer;
import loadbalancer.http1.control.ChangeResult;
import loadbalancer.http1.control.ControlClient;
import loadbalancer.http1.control.PublisherRunner;
import loadbalancer.http1.control.SubscriberRunner;
import loadbalancer.transport.Transport;

/**
 * Follows the writer as one of its subscribers, and serves the state to others. For the loop's
 * thread.
 */
final class FollowerRole implements MachineRole, UpdateConsumer {
    /**
     * After which a writer counts as lost; its file has the same heartbeat interval as this one's.
     */
    private static final long MISSED_HEARTBEATS = 3;

    private static final long FIRST_RETRY_MILLIS = 100;

    /** Short, as followers are few and their subscribers depend on them. */
    private static final long MAX_RETRY_MILLIS = 2_000;

    private static final long CHANGE_RETRY_AFTER_MILLIS = 1_000;

    private final List<InetSocketAddress> writers;
    private final ExecutorService fileWriter;
    private final FollowerStateFile stateFile;
    private final PublishedState published;
    private final ControlClient client;
    private final Subscriber subscriber;
    private final SubscriberRunner runner;
    private final StatusReporter reporter;
    private PublisherRunner publisher;

    /** Reads the stored state; blocks on the disk. */
    FollowerRole(Transport transport, MachineSettings settings) {
        writers = settings.writers();
        fileWriter = BackgroundThreads.single("control-state");
        stateFile = new FollowerStateFile(transport, fileWriter, settings.folder());
        ResourceState stored = stateFile.read();
        published = new PublishedState(stored);
        client = new ControlClient(transport, writers);
        subscriber =
                new Subscriber(
                        subscriberSettings(settings), stored, this, client, transport.random());
        runner = new SubscriberRunner(transport, subscriber);
        client.listen(runner);
        reporter =
                new StatusReporter(
                        transport, settings.name(), client, () -> subscriber.status().server());
    }

    /** A whole update is applied in one slice: this process has nothing else to do meanwhile. */
    private static SubscriberSettings subscriberSettings(MachineSettings settings) {
        long silenceMillis = MISSED_HEARTBEATS * settings.limits().heartbeatMillis();
        return new SubscriberSettings(
                settings.name(),
                "",
                Scope.ALL,
                settings.writers().size(),
                Integer.MAX_VALUE,
                silenceMillis,
                FIRST_RETRY_MILLIS,
                MAX_RETRY_MILLIS);
    }

    @Override
    public ResourceState state() {
        return published.state();
    }

    @Override
    public String notReadyReason() {
        boolean isEmpty = published.state().revision().equals(Revision.NONE);
        return isEmpty ? "this machine has no state from the writer yet" : "";
    }

    @Override
    public void start(PublisherRunner publisherRunner) {
        publisher = publisherRunner;
        runner.start();
        reporter.start(publisher);
    }

    /** Does nothing: only the writer's updates count. */
    @Override
    public void observeRevision(Revision revision) {}

    @Override
    public void stop() {
        reporter.stop();
        runner.stop();
        client.shutDown();
        stateFile.writeIfChanged(published.state());
    }

    @Override
    public void close() {
        BackgroundThreads.finish(fileWriter);
    }

    @Override
    public void change(byte[] json, Consumer<ChangeResult> result) {
        String addresses =
                writers.stream()
                        .map(at -> at.getHostString() + ":" + at.getPort())
                        .collect(Collectors.joining(" or "));
        result.accept(
                new ChangeResult.Unavailable(
                        "this machine follows; changes are taken at " + addresses,
                        CHANGE_RETRY_AFTER_MILLIS));
    }

    // ---- Updates from the writer ----

    /** Accepts all: the writer has checked it, and the digest shows what was damaged since. */
    @Override
    public void check(VersionedResource resource) {}

    @Override
    public void checkServices(ResourceView after, Set<String> services) {}

    @Override
    public void updateApplied(AppliedUpdate update, ResourceState state) {
        published.follow(update, state, publisher);
        stateFile.changed(published.state());
    }
}
