package loadbalancer.faults.process.program;

import java.io.File;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * How a process of the program is started.
 *
 * @param plain the command that serves
 * @param skewed the same by {@link Skewed}, to which the name of a file is added
 */
public record Program(List<String> plain, List<String> skewed) {
    /** In every command line, for the reaper to know its own. */
    public static final String MARK = "-Dloadbalancer.rig=true";

    /** As the platform runs it: little heap, one compiler, one collector thread. */
    private static final List<String> JAVA =
            List.of(
                    Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                    MARK,
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-XX:CompileThresholdScaling=0.2",
                    "-XX:-UsePerfData",
                    "-Xshare:auto",
                    "-Xms16m",
                    "-Xmn8m",
                    "-Xmx64m",
                    "-XX:MinHeapFreeRatio=10",
                    "-XX:MaxHeapFreeRatio=20",
                    "-XX:MaxDirectMemorySize=40m",
                    "-XX:ReservedCodeCacheSize=24m",
                    "-Xss512k",
                    "-XX:+ExitOnOutOfMemoryError",
                    "-Dio.netty.jfr.enabled=false",
                    "-Djava.net.preferIPv4Stack=true");

    /** From classes, as tests have them; what belongs to tests is left out. */
    public static Program ofClassPath(String classPath) {
        String own =
                String.join(
                        File.pathSeparator,
                        Arrays.stream(classPath.split(File.pathSeparator))
                                .filter(entry -> !entry.endsWith("test-classes"))
                                .toList());
        return new Program(
                command("-cp", own, "loadbalancer.node.Main", "serve"),
                command("-cp", own, Skewed.class.getName()));
    }

    /** From the built jar, with its libraries beside it in {@code lib}. */
    public static Program ofJar(Path jar) {
        Path all = jar.resolveSibling("lib").resolve("*");
        return new Program(
                command("-jar", jar.toString(), "serve"),
                command("-cp", jar + File.pathSeparator + all, Skewed.class.getName()));
    }

    private static List<String> command(String... more) {
        List<String> command = new ArrayList<>(JAVA);
        command.addAll(List.of(more));
        return List.copyOf(command);
    }

    /** The command of the same program with other arguments. */
    public List<String> tool(String... arguments) {
        List<String> command = new ArrayList<>(plain.subList(0, plain.size() - 1));
        command.addAll(List.of(arguments));
        return command;
    }

    List<String> command(Path odds) {
        if (odds == null) {
            return plain;
        }
        List<String> command = new ArrayList<>(skewed);
        command.add(odds.toString());
        return command;
    }
}
