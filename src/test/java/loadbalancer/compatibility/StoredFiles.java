package loadbalancer.compatibility;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/** Files that an earlier version stored, see the README beside them. */
public final class StoredFiles {
    private StoredFiles() {}

    /**
     * Copies those of one kind to a folder, where a test may change them.
     *
     * @throws IOException if that fails
     */
    public static void copyTo(Path folder, String kind) throws IOException {
        try (Stream<Path> files = Files.list(resources().resolve(kind))) {
            for (Path file : files.toList()) {
                Files.copy(file, folder.resolve(file.getFileName()));
            }
        }
    }

    private static Path resources() throws IOException {
        try {
            return Path.of(StoredFiles.class.getResource("README.md").toURI()).getParent();
        } catch (URISyntaxException e) {
            throw new UncheckedIOException(new IOException(e));
        }
    }
}
