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
 * The role of a follower: subscribes to the writer, and serves the received state to its own
 * subscribers. Used on the event loop only.
 */
final class FollowerRole implements ControlServerRole, UpdateConsumer {
    /**
     * Number of missed heartbeats after which the connection to the writer counts as lost. The
     * writer is expected to have the same heartbeat interval in its configuration file as this
     * follower.
     */
    private static final long MISSED_HEARTBEATS = 3;

    private static final long INITIAL_RETRY_DELAY_MILLIS = 100;

    /** Low, because there are few followers and their subscribers depend on them. */
    private static final long MAX_RETRY_DELAY_MILLIS = 2_000;

    private static final long CHANGE_RETRY_AFTER_MILLIS = 1_000;

    private final List<InetSocketAddress> writers;
    private final ExecutorService fileExecutor;
    private final FollowerStateFile stateFile;
    private final PublishedState published;
    private final ControlClient client;
    private final Subscriber subscriber;
    private final SubscriberRunner runner;
    private final StatusReporter reporter;
    private PublisherRunner publisher;

    /** Reads the stored state, which blocks on the disk. */
    FollowerRole(Transport transport, ControlServerSettings settings) {
        writers = settings.writers();
        fileExecutor = BackgroundThreads.single("control-state");
        stateFile = new FollowerStateFile(transport, fileExecutor, settings.folder());
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

    /**
     * Returns settings that apply an update of any size in one slice, because this process has no
     * other work to do meanwhile.
     */
    private static SubscriberSettings subscriberSettings(ControlServerSettings settings) {
        long silenceTimeoutMillis = MISSED_HEARTBEATS * settings.limits().heartbeatMillis();
        return new SubscriberSettings(
                settings.name(),
                "",
                Scope.ALL,
                settings.writers().size(),
                Integer.MAX_VALUE,
                silenceTimeoutMillis,
                INITIAL_RETRY_DELAY_MILLIS,
                MAX_RETRY_DELAY_MILLIS);
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

    /** Does nothing: the revision of a follower changes only with the writer's updates. */
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
        BackgroundThreads.finish(fileExecutor);
    }

    @Override
    public void change(byte[] json, Consumer<ChangeResult> result) {
        String addresses =
                writers.stream()
                        .map(writer -> writer.getHostString() + ":" + writer.getPort())
                        .collect(Collectors.joining(" or "));
        result.accept(
                new ChangeResult.Unavailable(
                        "this machine follows; changes are taken at " + addresses,
                        CHANGE_RETRY_AFTER_MILLIS));
    }

    // ---- Updates from the writer ----

    /**
     * Accepts every resource: the writer has checked it, and the digest detects damage since then.
     */
    @Override
    public void check(VersionedResource resource) {}

    @Override
    public void checkServices(ResourceView after, Set<String> services) {}

    @Override
    public void updateApplied(AppliedUpdate update, ResourceState state) {
        published.applyUpdate(update, state, publisher);
        stateFile.onChanged(published.state());
    }
}
