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
 * Follows the endpoint list of the discovery service with one watch, which is reopened from the
 * current version whenever it ends. The full list is fetched if the policy polls, or if a watch
 * event could not be parsed. Used on the event loop; times come from the transport's monotonic
 * clock.
 */
final class Discovery implements ListSource, DiscoveryCall.Listener {
    private static final System.Logger LOG = System.getLogger(Discovery.class.getName());
    private static final String LIST_PATH = "/v1/servers";

    /** Spreads the calls of all balancers that are moved to another address at the same time. */
    private static final long ADDRESS_CHANGE_SPREAD_MILLIS = 250;

    private final Transport transport;
    private final boolean isPolled;
    private final RequestDispatcher dispatcher;
    private final CurrentListVersion version;
    private final RetriedCall watch;
    private final RetriedCall fullList;
    private final QuietPeriodLogFilter invalidLineLog = new QuietPeriodLogFilter();
    private final QuietPeriodLogFilter olderListLog = new QuietPeriodLogFilter();
    private final QuietPeriodLogFilter failureLog = new QuietPeriodLogFilter();
    private InetSocketAddress address;

    /** Whether a watch event could not be parsed, so that the full list has to be fetched. */
    private boolean isFullListNeeded;

    /** Whether the policy has been notified of a list since the start, changed or not. */
    private boolean isNotified;

    /** Whether the list in force is one that the sibling process shared. */
    private boolean hasAdopted;

    private boolean hasReceived;
    private long receivedAtNanos;
    private long addressChanges;

    /**
     * Creates the source without calling discovery yet.
     *
     * @param isPolled whether the policy polls the list, and so is notified of failed calls
     * @param version version of the initial list; 0 for none
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
                        transport, () -> call(LIST_PATH + "?follow=1&since=" + this.version.get()));
        this.fullList = new RetriedCall(transport, () -> call(LIST_PATH));
    }

    private DiscoveryCall call(String uri) {
        LOG.log(System.Logger.Level.DEBUG, () -> "calling discovery at " + address + uri);
        return DiscoveryCall.start(transport, address, uri, this);
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
    public long version() {
        return version.get();
    }

    /** Returns how often the address has changed, which resets the version. */
    long addressChanges() {
        return addressChanges;
    }

    /** Returns whether discovery or the sibling process has sent a list since the start. */
    boolean hasLearntSinceStart() {
        return isNotified || hasAdopted;
    }

    /**
     * Puts the list of the sibling process in force if it is newer than this process's, see {@link
     * CurrentListVersion#isBefore}.
     *
     * @param list a complete list
     * @param listOrigin origin of the list; versions of another one can't be compared, so that its
     *     list is ignored
     */
    void adopt(EndpointListUpdate list, String listOrigin) {
        if (!listOrigin.equals(origin())
                || list.entries().isEmpty()
                || !version.isBefore(list, hasLearntSinceStart())) {
            return;
        }
        LOG.log(
                System.Logger.Level.INFO,
                "took the endpoint list of version "
                        + list.version()
                        + " from the sibling process");
        boolean isWatchOutdated = list.version() < version.get() && !watch.isOff();
        version.set(list);
        if (isWatchOutdated) {
            watch.end();
            watch.begin();
        }
        hasAdopted = true;
        dispatcher.updateEndpoints(
                isNotified ? EndpointListUpdateType.FULL : EndpointListUpdateType.RESTORED, list);
    }

    @Override
    public String origin() {
        return origin(address);
    }

    /** Returns the origin of lists from discovery at an address, see {@link ListSource#origin}. */
    static String origin(InetSocketAddress address) {
        return address.toString();
    }

    /**
     * Follows discovery at another address from now on; an equal address changes nothing. Calls to
     * the previous address are cancelled, and the list is read from version 0, as list versions of
     * one discovery service do not apply to another.
     */
    void changeAddress(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        LOG.log(System.Logger.Level.INFO, "discovery address changed");
        boolean isWatching = !watch.isOff();
        boolean isFetching = !fullList.isOff() && !isFullListNeeded;
        watch.endAndResetBackoff();
        fullList.endAndResetBackoff();
        isFullListNeeded = false;
        address = newAddress;
        addressChanges++;
        version.reset();
        if (isWatching) {
            watch.beginWithin(ADDRESS_CHANGE_SPREAD_MILLIS);
        }
        if (isFetching) {
            fullList.beginWithin(ADDRESS_CHANGE_SPREAD_MILLIS);
        }
    }

    /** Confirms the current version; the policy is notified the first time. */
    @Override
    public void onHeartbeat(DiscoveryCall call) {
        recordReceived();
        if (!isNotified && version.get() > 0 && watch.isCurrent(call)) {
            isNotified = true;
            dispatcher.updateEndpoints(
                    EndpointListUpdateType.DELTA,
                    new EndpointListUpdate(version.get(), false, List.of()));
        }
    }

    @Override
    public void onObject(DiscoveryCall call, byte[] json) {
        recordReceived();
        EndpointListUpdate list;
        try (JsonParser parser = Config.JSON.createParser(json)) {
            parser.nextToken();
            list = EndpointListReader.read(parser);
        } catch (IOException | InvalidInputException e) {
            onInvalid(call, e.getMessage());
            return;
        }
        if (fullList.isCurrent(call)) {
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
                        (list.isComplete() ? "full list" : "changes")
                                + " of version "
                                + list.version()
                                + " with "
                                + list.entries().size()
                                + " entries received by the "
                                + (watch.isCurrent(call) ? "watch" : "call for the full list"));
    }

    private void apply(EndpointListUpdate list) {
        if (version.advanceTo(list)) {
            isNotified = true;
            dispatcher.updateEndpoints(
                    list.isComplete() ? EndpointListUpdateType.FULL : EndpointListUpdateType.DELTA,
                    list);
        } else if (olderListLog.shouldLog(transport.nanoTime())) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "ignored an endpoint list of version "
                            + list.version()
                            + ", older than the current version "
                            + version.get());
        }
    }

    @Override
    public void onInvalid(DiscoveryCall call, String reason) {
        if (invalidLineLog.shouldLog(transport.nanoTime())) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "ignored an invalid line from discovery: "
                            + reason.lines().findFirst().orElse(""));
        }
        if (watch.isCurrent(call)) {
            isFullListNeeded = true;
            fullList.beginAfterBackoff();
        }
    }

    @Override
    public void onEnd(DiscoveryCall call) {
        LOG.log(
                System.Logger.Level.DEBUG,
                () ->
                        (watch.isCurrent(call) ? "watch" : "call for the full list")
                                + " ended: "
                                + call.outcome()
                                + ", nothing received for "
                                + call.quietMillis()
                                + " ms, open for "
                                + call.openMillis()
                                + " ms, current version "
                                + version.get());
        if (watch.isCurrent(call)) {
            watch.retry();
        } else if (isFullListNeeded) {
            fullList.retry();
        } else {
            fullList.end();
        }
        if (isPolled) {
            dispatcher.endpointListUnavailable();
        }
    }

    @Override
    public void onLocalFailure(Throwable cause) {
        if (failureLog.shouldLog(transport.nanoTime())) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "a call to discovery failed in this process: " + cause);
        }
    }

    private void recordReceived() {
        hasReceived = true;
        receivedAtNanos = transport.nanoTime();
    }
}
