package loadbalancer.rollout.plan;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.LinkOption;
import java.nio.file.Path;
import java.security.DigestInputStream;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.stream.Stream;

/** Digests of what a plan changes; reads files and nothing else. */
public final class Digests {
    /** A program is some dozen jars; many more files are another folder named by mistake. */
    private static final int MOST_FILES = 10_000;

    private Digests() {}

    /** Of a file: the SHA-256 of its bytes; of a folder as {@link #ofFolder}. */
    public static String of(Path path) throws IOException {
        if (Files.isDirectory(path)) {
            return ofFolder(path);
        }
        MessageDigest sum = sha256();
        feed(sum, path);
        return HexFormat.of().formatHex(sum.digest());
    }

    /**
     * Of a folder: SHA-256 over a line {@code <hex SHA-256 of the content> <relative name>\n} for
     * each file, sorted by name with {@code /} between its parts, which {@code sha256sum} can
     * check. Anything that is neither file nor folder is refused: a link could lead anywhere.
     */
    private static String ofFolder(Path folder) throws IOException {
        List<Path> files;
        try (Stream<Path> all = Files.walk(folder)) {
            files =
                    all.filter(p -> !Files.isDirectory(p, LinkOption.NOFOLLOW_LINKS))
                            .limit(MOST_FILES + 1L)
                            .toList();
        }
        if (files.size() > MOST_FILES) {
            throw new IOException(folder + " has more than " + MOST_FILES + " files");
        }
        MessageDigest all = sha256();
        List<String> names =
                files.stream()
                        .map(f -> folder.relativize(f).toString().replace('\\', '/'))
                        .sorted()
                        .toList();
        for (String name : names) {
            Path file = folder.resolve(name);
            if (!Files.isRegularFile(file, LinkOption.NOFOLLOW_LINKS)) {
                throw new IOException(file + " is no plain file");
            }
            MessageDigest one = sha256();
            feed(one, file);
            all.update(
                    (HexFormat.of().formatHex(one.digest()) + "  " + name + "\n")
                            .getBytes(StandardCharsets.UTF_8));
        }
        return HexFormat.of().formatHex(all.digest());
    }

    /** Of a plan's text. */
    static String of(String text) {
        return HexFormat.of().formatHex(sha256().digest(text.getBytes(StandardCharsets.UTF_8)));
    }

    private static void feed(MessageDigest sum, Path file) throws IOException {
        try (InputStream in = new DigestInputStream(Files.newInputStream(file), sum)) {
            in.transferTo(java.io.OutputStream.nullOutputStream());
        }
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("each Java has SHA-256", e);
        }
    }
}
