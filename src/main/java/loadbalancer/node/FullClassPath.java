package loadbalancer.node;

import java.io.IOException;
import java.io.PrintStream;
import java.net.URISyntaxException;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.ServiceLoader;
import java.util.spi.ToolProvider;

/**
 * Runs parts of the program that need all libraries. The class path in the jar's manifest lists
 * only those that every balancer needs: Netty looks up absent classes at each start, which opens
 * every listed jar and costs time and about 100 KB for each.
 */
final class FullClassPath {
    private FullClassPath() {}

    /**
     * Returns whether all libraries are on the class path, as in tests and in a program started by
     * {@link #runMain}.
     */
    static boolean isComplete() {
        return FullClassPath.class.getClassLoader().getResource("picocli/CommandLine.class")
                != null;
    }

    /** Runs a command line tool and returns its exit code; 1 if the tools can't be loaded. */
    static int runTool(String[] args, PrintStream out, PrintStream err) {
        try {
            ClassLoader loader = isComplete() ? FullClassPath.class.getClassLoader() : loader();
            Thread.currentThread().setContextClassLoader(loader);
            for (ToolProvider tool : ServiceLoader.load(ToolProvider.class, loader)) {
                if (tool.name().equals("load-balancer")) {
                    return tool.run(out, err, args);
                }
            }
            throw new IOException("no tool is registered under the name load-balancer");
        } catch (IOException | URISyntaxException e) {
            err.println(
                    "can't load the tools; the folder lib must be next to the jar: "
                            + e.getMessage());
            return 1;
        }
    }

    /** Runs {@link Main#main} with all libraries, in a class loader of its own. */
    static void runMain(String[] args) throws Exception {
        ClassLoader loader = loader();
        Thread.currentThread().setContextClassLoader(loader);
        loader.loadClass(Main.class.getName())
                .getMethod("main", String[].class)
                .invoke(null, (Object) args);
    }

    private static ClassLoader loader() throws IOException, URISyntaxException {
        Path jar =
                Path.of(
                        FullClassPath.class
                                .getProtectionDomain()
                                .getCodeSource()
                                .getLocation()
                                .toURI());
        List<URL> urls = new ArrayList<>(List.of(jar.toUri().toURL()));
        Path folder = jar.resolveSibling("lib");
        if (Files.isDirectory(folder)) {
            try (DirectoryStream<Path> jars = Files.newDirectoryStream(folder, "*.jar")) {
                for (Path library : jars) {
                    urls.add(library.toUri().toURL());
                }
            }
        }
        // The parent is the platform class loader, so that no class comes from the jar's own class
        // path.
        return new URLClassLoader(urls.toArray(URL[]::new), ClassLoader.getPlatformClassLoader());
    }
}
