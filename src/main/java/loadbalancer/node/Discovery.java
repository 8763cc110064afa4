package loadbalancer.node;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.EndpointListUpdateType;
import loadbalancer.logging.QuietPeriodLogFilter;
import loadbalancer.proxy.EndpointListUpdate;
import loadbalancer.proxy.RequestDispatcher;
import loadbalancer.settings.InvalidInputException;
import loadbalancer.transport.Transport;

/**
 * Follows the endpoint list of the discovery service: one watch, reopened from the current version
 * whenever it ends, and a call for the full list if the policy polls or if a watch event could not
 * be read. On the loop; times come from the transport's monotonic clock.
 */
final class Discovery implements ListSource, DiscoveryCall.Caller {
    private static final System.Logger LOG = System.getLogger(Discovery.class.getName());
    private static final String LIST_PATH = "/v1/servers";

    /** Spreads the calls of all balancers when they are moved to another address at one moment. */
    private static final long MOVE_SPREAD_MILLIS = 250;

    private final Transport transport;
    private final boolean isPolled;
    private final RequestDispatcher dispatcher;
    private final CurrentListVersion version;
    private final RetriedCall watch;
    private final RetriedCall fullList;
    private final QuietPeriodLogFilter brokenLineLog = new QuietPeriodLogFilter();
    private final QuietPeriodLogFilter olderListLog = new QuietPeriodLogFilter();
    private final QuietPeriodLogFilter failureLog = new QuietPeriodLogFilter();
    private InetSocketAddress address;

    /** Whether a watch event could not be read, and the full list is to make up for it. */
    private boolean isFullListNeeded;

    /** Whether the policy was notified since the start, of a change or that there is none. */
    private boolean isNotified;

    private boolean hasReceived;
    private long receivedAtNanos;

    /**
     * Calls nobody yet.
     *
     * @param isPolled whether the policy is notified of failed calls
     * @param version of the list known at the start; 0 for none
     */
    Discovery(
            Transport transport,
            InetSocketAddress address,
            boolean isPolled,
            long version,
            RequestDispatcher dispatcher) {
        this.transport = transport;
        this.address = address;
        this.isPolled = isPolled;
        this.version = new CurrentListVersion(version);
        this.dispatcher = dispatcher;
        this.watch =
                new RetriedCall(
                        transport, () -> dial(LIST_PATH + "?follow=1&since=" + this.version.get()));
        this.fullList = new RetriedCall(transport, () -> dial(LIST_PATH));
    }

    private DiscoveryCall dial(String uri) {
        LOG.log(System.Logger.Level.DEBUG, () -> "calls " + address + uri);
        return DiscoveryCall.dial(transport, address, uri, this);
    }

    @Override
    public void watch(boolean on) {
        if (on) {
            watch.begin();
        } else {
            watch.end();
        }
    }

    @Override
    public void fetch() {
        fullList.begin();
    }

    @Override
    public long quietMillis() {
        return hasReceived
                ? TimeUnit.NANOSECONDS.toMillis(transport.nanoTime() - receivedAtNanos)
                : -1;
    }

    @Override
    public String origin() {
        return origin(address);
    }

    /** Identifies the lists of discovery at an address, see {@link ListSource#origin}. */
    static String origin(InetSocketAddress address) {
        return address.toString();
    }

    /**
     * Follows discovery at another address from now on. List versions of the old one mean nothing
     * there: the new one is read from the beginning, and calls to the old one are cancelled.
     */
    void move(InetSocketAddress to) {
        if (to.equals(address)) {
            return;
        }
        LOG.log(System.Logger.Level.INFO, "follows discovery at another address");
        boolean watching = !watch.isOff();
        boolean fetching = !fullList.isOff() && !isFullListNeeded;
        watch.endAndForget();
        fullList.endAndForget();
        isFullListNeeded = false;
        address = to;
        version.forget();
        if (watching) {
            watch.beginWithin(MOVE_SPREAD_MILLIS);
        }
        if (fetching) {
            fullList.beginWithin(MOVE_SPREAD_MILLIS);
        }
    }

    /** Nothing has changed since the current version; the policy is notified the first time. */
    @Override
    public void empty(DiscoveryCall call) {
        recordReceived();
        if (!isNotified && version.get() > 0 && watch.is(call)) {
            isNotified = true;
            dispatcher.updateEndpoints(
                    EndpointListUpdateType.DELTA,
                    new EndpointListUpdate(version.get(), false, List.of()));
        }
    }

    @Override
    public void object(DiscoveryCall call, byte[] json) {
        recordReceived();
        EndpointListUpdate list;
        try (JsonParser parser = Config.JSON.createParser(json)) {
            parser.nextToken();
            list = EndpointListReader.read(parser);
        } catch (IOException | InvalidInputException e) {
            broken(call, e.getMessage());
            return;
        }
        if (fullList.is(call)) {
            isFullListNeeded = false;
            fullList.end();
        }
        logReceived(call, list);
        apply(list);
    }

    private void logReceived(DiscoveryCall call, EndpointListUpdate list) {
        LOG.log(
                System.Logger.Level.DEBUG,
                () ->
                        (list.isComplete() ? "list" : "changes")
                                + " of version "
                                + list.version()
                                + " with "
                                + list.entries().size()
                                + " entries on the "
                                + (watch.is(call) ? "watch" : "call for the list"));
    }

    private void apply(EndpointListUpdate list) {
        if (version.take(list)) {
            isNotified = true;
            dispatcher.updateEndpoints(
                    list.isComplete() ? EndpointListUpdateType.FULL : EndpointListUpdateType.DELTA,
                    list);
        } else if (olderListLog.shouldLog(transport.nanoTime())) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "ignored a list of version "
                            + list.version()
                            + ", older than the one held, "
                            + version.get());
        }
    }

    @Override
    public void broken(DiscoveryCall call, String reason) {
        if (brokenLineLog.shouldLog(transport.nanoTime())) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "ignored a broken line of discovery: " + reason.lines().findFirst().orElse(""));
        }
        if (watch.is(call)) {
            isFullListNeeded = true;
            fullList.beginAfterPause();
        }
    }

    @Override
    public void ended(DiscoveryCall call) {
        LOG.log(
                System.Logger.Level.DEBUG,
                () ->
                        (watch.is(call) ? "watch" : "call for the list")
                                + " ended: "
                                + call.outcome()
                                + ", quiet for "
                                + call.quietMs()
                                + " ms, open for "
                                + call.openMs()
                                + " ms, version held "
                                + version.get());
        if (watch.is(call)) {
            watch.failed();
        } else if (isFullListNeeded) {
            fullList.failed();
        } else {
            fullList.end();
        }
        if (isPolled) {
            dispatcher.endpointListUnavailable();
        }
    }

    @Override
    public void failed(Throwable cause) {
        if (failureLog.shouldLog(transport.nanoTime())) {
            LOG.log(System.Logger.Level.WARNING, "a call to discovery failed here: " + cause);
        }
    }

    private void recordReceived() {
        hasReceived = true;
        receivedAtNanos = transport.nanoTime();
    }
}
