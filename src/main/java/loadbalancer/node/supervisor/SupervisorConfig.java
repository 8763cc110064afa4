package loadbalancer.node.supervisor;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;

/**
 * The settings of a supervisor. Immutable.
 *
 * @param programs folder that contains one folder per program, each with its {@code
 *     load-balancer.jar} and {@code lib}
 * @param operatorFiles folder of the operator files
 * @param initial variant that runs until a plan changes it
 * @param stateFolder folder of the supervisor's own files, on a persistent disk
 * @param adminAddresses two addresses, one for the admin endpoint of each process of a hand-over;
 *     the balancer's own configuration must not set one
 * @param javaOptions options of the JVM
 */
record SupervisorConfig(
        Path programs,
        Path operatorFiles,
        Variant initial,
        Path stateFolder,
        List<InetSocketAddress> adminAddresses,
        List<String> javaOptions) {}
