package loadbalancer.node.supervisor;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;

/**
 * The supervisor's settings. Immutable.
 *
 * @param programs folder of the program folders, each with its {@code load-balancer.jar} and {@code
 *     lib}
 * @param operatorFiles folder of the operator's files
 * @param initial what runs where no plan has changed anything
 * @param stateFolder the supervisor's own, on a persistent disk
 * @param adminAddresses two, one for the admin endpoint of each process of a hand-over; the
 *     balancer's own configuration must name none
 * @param javaOptions of the Java machine
 */
record SupervisorConfig(
        Path programs,
        Path operatorFiles,
        Variant initial,
        Path stateFolder,
        List<InetSocketAddress> adminAddresses,
        List<String> javaOptions) {}
