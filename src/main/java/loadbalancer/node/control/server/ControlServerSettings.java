package loadbalancer.node.control.server;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import loadbalancer.control.publish.PublisherLimits;
import loadbalancer.settings.ControlFile;
import loadbalancer.settings.PublishLimitsSection;

/**
 * The settings of a control server, converted from its configuration file.
 *
 * @param role whether the control server accepts changes or follows a writer
 * @param name name of this control server
 * @param listen address to listen on
 * @param folder folder of the log or the stored state; empty if a follower stores nothing
 * @param writers addresses of the control servers that a follower connects to
 * @param minEpoch lowest epoch that a writer starts with
 * @param limits limits of the publisher
 */
record ControlServerSettings(
        ControlFile.Role role,
        String name,
        InetSocketAddress listen,
        Optional<Path> folder,
        List<InetSocketAddress> writers,
        long minEpoch,
        PublisherLimits limits) {
    static ControlServerSettings of(ControlFile file) {
        Optional<Path> folder =
                Optional.of(file.folder()).filter(path -> !path.isEmpty()).map(Path::of);
        return new ControlServerSettings(
                file.role(),
                file.name(),
                address(file.listen()),
                folder,
                file.upstreamServers().stream().map(ControlServerSettings::address).toList(),
                file.minEpoch(),
                limits(file.limits()));
    }

    private static PublisherLimits limits(PublishLimitsSection section) {
        return new PublisherLimits(
                section.maxSubscribers(),
                section.admissionsPerSecond(),
                section.bytesPerSecond(),
                section.subscriberBytesPerSecond(),
                section.partBytes(),
                section.heartbeatMillis(),
                section.retainedDeletions());
    }

    /** Parses an address, whose form {@link ControlFile} has checked. */
    private static InetSocketAddress address(String checked) {
        int colon = checked.indexOf(':');
        return new InetSocketAddress(
                checked.substring(0, colon), Integer.parseInt(checked.substring(colon + 1)));
    }

    /** Returns the role as it is written in the configuration file. */
    String roleName() {
        return role.name().toLowerCase(Locale.ROOT);
    }
}
