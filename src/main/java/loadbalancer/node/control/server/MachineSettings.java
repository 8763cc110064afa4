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
 * What the file of a control machine says, in the types of those who use it.
 *
 * @param role whether it takes changes
 * @param name of this machine
 * @param listen where it serves
 * @param folder of the log or of the kept state; none if a follower keeps nothing
 * @param writers whom a follower follows
 * @param leastEpoch of a writer
 * @param limits of its publisher
 */
record MachineSettings(
        ControlFile.Role role,
        String name,
        InetSocketAddress listen,
        Optional<Path> folder,
        List<InetSocketAddress> writers,
        long leastEpoch,
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
                file.leastEpoch(),
                limits(file.limits()));
    }

    private static PublisherLimits limits(PublishLimitsSection said) {
        return new PublisherLimits(
                said.maxSubscribers(),
                said.admissionsPerSecond(),
                said.bytesPerSecond(),
                said.subscriberBytesPerSecond(),
                said.partBytes(),
                said.heartbeatMillis(),
                said.retainedDeletions());
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
