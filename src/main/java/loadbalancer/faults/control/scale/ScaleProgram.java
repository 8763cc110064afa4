package loadbalancer.faults.control.scale;

import java.io.File;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * How the processes of a run are started.
 *
 * @param classPath of the program with all libraries
 */
public record ScaleProgram(String classPath) {
    /** In every command line, for the reaper to know its own. */
    static final String MARK = "-Dloadbalancer.scale=true";

    private static final String JAVA =
            Path.of(System.getProperty("java.home"), "bin", "java").toString();

    /** From the built jar, with its libraries beside it in {@code lib}. */
    public static ScaleProgram ofJar(Path jar) {
        Path libraries = jar.toAbsolutePath().resolveSibling("lib").resolve("*");
        return new ScaleProgram(jar.toAbsolutePath() + File.pathSeparator + libraries);
    }

    /** From classes, as tests have them; what belongs to tests is left out. */
    public static ScaleProgram ofClassPath(String classPath) {
        List<String> entries =
                Arrays.stream(classPath.split(File.pathSeparator))
                        .filter(entry -> !entry.endsWith("test-classes"))
                        .toList();
        return new ScaleProgram(String.join(File.pathSeparator, entries));
    }

    /** The command of a control machine. */
    List<String> control(int heapMegabytes, Path file) {
        return command(
                List.of("-XX:+UseSerialGC", "-Xmx" + heapMegabytes + "m"),
                List.of("loadbalancer.node.Main", "control", "serve", file.toString()));
    }

    /** The command of a process of hollow subscribers. */
    List<String> hollow(int heapMegabytes, List<String> arguments) {
        List<String> main = new ArrayList<>(List.of(HollowProcess.class.getName()));
        main.addAll(arguments);
        return command(
                List.of(
                        "-XX:+UseG1GC",
                        "-XX:ParallelGCThreads=2",
                        "-XX:ConcGCThreads=1",
                        "-Xmx" + heapMegabytes + "m"),
                main);
    }

    private List<String> command(List<String> options, List<String> main) {
        List<String> command =
                new ArrayList<>(
                        List.of(
                                JAVA,
                                MARK,
                                "-XX:+ExitOnOutOfMemoryError",
                                "-XX:-UsePerfData",
                                "-Xshare:auto",
                                "-Dio.netty.jfr.enabled=false",
                                "-Djava.net.preferIPv4Stack=true"));
        command.addAll(options);
        command.addAll(List.of("-cp", classPath));
        command.addAll(main);
        return command;
    }
}
