package loadbalancer.rollout.plan;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
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

/** Computes SHA-256 digests of programs and files, in lower-case hexadecimal. Stateless. */
public final class Digests {
    /** A program has a few dozen files; a folder with many more is the wrong one. */
    private static final int MAX_FILES = 10_000;

    private static final HexFormat HEX = HexFormat.of();

    private Digests() {}

    /**
     * Returns the digest of a file's bytes or of a folder. The digest of a folder covers one line
     * {@code <hex SHA-256 of the content> <relative name>\n} per file, sorted by name with {@code
     * /} as separator, and can be checked with {@code sha256sum}.
     *
     * @throws IOException if a file cannot be read, or if the folder has more than 10,000 files or
     *     an entry that is neither a file nor a folder, since a link could point anywhere
     */
    public static String ofPath(Path path) throws IOException {
        return Files.isDirectory(path) ? ofFolder(path) : ofFile(path);
    }

    private static String ofFolder(Path folder) throws IOException {
        MessageDigest digest = sha256();
        for (String name : relativeNames(folder)) {
            Path file = folder.resolve(name);
            if (!Files.isRegularFile(file, LinkOption.NOFOLLOW_LINKS)) {
                throw new IOException(file + " is not a regular file");
            }
            String line = ofFile(file) + "  " + name + "\n";
            digest.update(line.getBytes(StandardCharsets.UTF_8));
        }
        return HEX.formatHex(digest.digest());
    }

    private static List<String> relativeNames(Path folder) throws IOException {
        List<Path> files;
        try (Stream<Path> all = Files.walk(folder)) {
            files =
                    all.filter(path -> !Files.isDirectory(path, LinkOption.NOFOLLOW_LINKS))
                            .limit(MAX_FILES + 1L)
                            .toList();
        }
        if (files.size() > MAX_FILES) {
            throw new IOException(folder + " has more than " + MAX_FILES + " files");
        }
        return files.stream()
                .map(file -> folder.relativize(file).toString().replace('\\', '/'))
                .sorted()
                .toList();
    }

    private static String ofFile(Path file) throws IOException {
        MessageDigest digest = sha256();
        try (InputStream in = new DigestInputStream(Files.newInputStream(file), digest)) {
            in.transferTo(OutputStream.nullOutputStream());
        }
        return HEX.formatHex(digest.digest());
    }

    /** Returns the digest of a text in UTF-8. */
    static String ofText(String text) {
        return HEX.formatHex(sha256().digest(text.getBytes(StandardCharsets.UTF_8)));
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform provides SHA-256", e);
        }
    }
}
