package loadbalancer.faults.process.shim;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import loadbalancer.faults.process.RigFailure;

/** Builds {@code syscall_faults.c} with the system's compiler, where there is one. */
public final class ShimLibrary {
    private static final String SOURCE = "syscall_faults.c";
    private static final String COMPILER = "cc";
    private static final int PATIENCE_S = 60;
    private static Optional<Path> built;

    private ShimLibrary() {}

    /** The library, built once for this process; empty where the system has no compiler. */
    public static synchronized Optional<Path> get() {
        if (built == null) {
            built = build();
        }
        return built;
    }

    private static Optional<Path> build() {
        try {
            Path folder = Files.createTempDirectory("load-balancer-shim");
            folder.toFile().deleteOnExit();
            Path source = folder.resolve(SOURCE);
            try (InputStream in = ShimLibrary.class.getResourceAsStream(SOURCE)) {
                Files.copy(in, source);
            }
            Path library = folder.resolve("syscall_faults.so");
            Process compiler;
            try {
                compiler =
                        new ProcessBuilder(
                                        COMPILER,
                                        "-shared",
                                        "-fPIC",
                                        "-O2",
                                        "-o",
                                        library.toString(),
                                        source.toString(),
                                        "-ldl")
                                .redirectErrorStream(true)
                                .start();
            } catch (IOException e) {
                return Optional.empty(); // no such command
            }
            String said = new String(compiler.getInputStream().readAllBytes());
            if (!compiler.waitFor(PATIENCE_S, TimeUnit.SECONDS) || compiler.exitValue() != 0) {
                throw new RigFailure(
                        "can't build " + SOURCE + ": " + said.lines().findFirst().orElse(""));
            }
            source.toFile().deleteOnExit();
            library.toFile().deleteOnExit();
            return Optional.of(library);
        } catch (IOException e) {
            throw new RigFailure("can't build " + SOURCE, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new RigFailure("interrupted", e);
        }
    }
}
