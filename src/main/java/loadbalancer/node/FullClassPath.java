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
 * The program with all its libraries. The jar's own class path has only what a balancer needs: each
 * further jar there is opened whenever a class is looked for in vain, which Netty does at every
 * start, and costs time and about 100 KB. What needs more of them is loaded through here.
 */
final class FullClassPath {
    private FullClassPath() {}

    /** Whether all libraries are on the class path, as they are in here and in tests. */
    static boolean isComplete() {
        return FullClassPath.class.getClassLoader().getResource("picocli/CommandLine.class")
                != null;
    }

    /** Runs one of the tools. */
    static int runTool(String[] args, PrintStream out, PrintStream err) {
        try {
            ClassLoader loader = isComplete() ? FullClassPath.class.getClassLoader() : loader();
            Thread.currentThread().setContextClassLoader(loader);
            for (ToolProvider tool : ServiceLoader.load(ToolProvider.class, loader)) {
                if (tool.name().equals("load-balancer")) {
                    return tool.run(out, err, args);
                }
            }
            throw new IOException("the jar has no tools");
        } catch (IOException | URISyntaxException e) {
            err.println(
                    "can't load the tools; the folder lib must lie beside the jar: "
                            + e.getMessage());
            return 1;
        }
    }

    /** Runs the whole program again with all libraries. */
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
        // Its parent is the platform's: classes must not come half from the narrow class path.
        return new URLClassLoader(urls.toArray(URL[]::new), ClassLoader.getPlatformClassLoader());
    }
}
