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
 * The settings of a control machine, converted from its file.
 *
 * @param role whether it accepts changes or follows a writer
 * @param name of this machine
 * @param listen where it serves
 * @param folder of the log or the stored state; empty if a follower stores nothing
 * @param writers the machines that a follower connects to
 * @param minEpoch the least epoch of a writer
 * @param limits of its publisher
 */
record MachineSettings(
        ControlFile.Role role,
        String name,
        InetSocketAddress listen,
        Optional<Path> folder,
        List<InetSocketAddress> writers,
        long minEpoch,
        PublisherLimits limits) {
    static MachineSettings of(ControlFile file) {
        Optional<Path> folder =
                Optional.of(file.folder()).filter(path -> !path.isEmpty()).map(Path::of);
        return new MachineSettings(
                file.role(),
                file.name(),
                address(file.listen()),
                folder,
                file.upstreamServers().stream().map(MachineSettings::address).toList(),
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

    /** The file's addresses are checked, see {@link ControlFile}. */
    private static InetSocketAddress address(String checked) {
        int colon = checked.indexOf(':');
        return new InetSocketAddress(
                checked.substring(0, colon), Integer.parseInt(checked.substring(colon + 1)));
    }

    /** The role as it is written in the file. */
    String roleName() {
        return role.name().toLowerCase(Locale.ROOT);
    }
}
