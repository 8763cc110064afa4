package loadbalancer.node.supervisor;

import java.io.FileNotFoundException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Builds the command line and the environment of a balancer process. Stateless. */
final class BalancerCommand {
    private static final String JAR_NAME = "load-balancer.jar";

    /** Name of the jar in folders of versions from before the project was renamed. */
    private static final String FORMER_JAR_NAME = "yewyoke.jar";

    private static final String SERVE_COMMAND = "serve";
    private static final String ADMIN_ADDRESS_VARIABLE = "NODE_OPS";
    private static final String OPERATOR_FILE_VARIABLE = "NODE_OPERATOR";

    private BalancerCommand() {}

    /**
     * Returns a builder of the process, whose output is appended to the balancer's log.
     *
     * @throws IOException if the program's jar does not exist
     */
    static ProcessBuilder of(SupervisorConfig config, SupervisedProcessRecord record)
            throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command(config, record));
        InetSocketAddress admin = record.adminAddress();
        builder.environment()
                .put(ADMIN_ADDRESS_VARIABLE, admin.getHostString() + ":" + admin.getPort());
        String operatorFile = record.variant().operatorFile();
        if (operatorFile.isEmpty()) {
            builder.environment().remove(OPERATOR_FILE_VARIABLE);
        } else {
            Path path = config.operatorFiles().resolve(operatorFile);
            builder.environment().put(OPERATOR_FILE_VARIABLE, path.toString());
        }
        // Does not inherit the supervisor's streams: the process may outlive their reader.
        Path log = config.stateFolder().resolve(StateFolder.BALANCER_LOG);
        return builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    }

    private static List<String> command(SupervisorConfig config, SupervisedProcessRecord record)
            throws FileNotFoundException {
        Path jar = findJar(config.programs().resolve(record.variant().program()));
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.add(record.idArgument());
        command.addAll(config.javaOptions());
        command.addAll(List.of("-jar", jar.toString(), SERVE_COMMAND));
        return command;
    }

    private static Path findJar(Path folder) throws FileNotFoundException {
        Path jar = folder.resolve(JAR_NAME);
        if (Files.isRegularFile(jar)) {
            return jar;
        }
        Path former = folder.resolve(FORMER_JAR_NAME);
        if (Files.isRegularFile(former)) {
            return former;
        }
        throw new FileNotFoundException(jar + " does not exist");
    }
}
