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

/** SHA-256 digests, in lower-case hexadecimal digits, of what a plan changes. Stateless. */
public final class Digests {
    /** A program has some dozen files; many more are a wrong folder. */
    private static final int MAX_FILES = 10_000;

    private static final HexFormat HEX = HexFormat.of();

    private Digests() {}

    /**
     * Digest of a file or folder. Of a file: that of its bytes. Of a folder: that of a line {@code
     * <hex SHA-256 of the content> <relative name>\n} for each file, sorted by name with {@code /}
     * between its parts, which {@code sha256sum} can check.
     *
     * @throws IOException if something can't be read, or the folder holds more than 10,000 files or
     *     anything that is neither file nor folder: a link could lead anywhere
     */
    public static String ofPath(Path path) throws IOException {
        return Files.isDirectory(path) ? ofFolder(path) : ofFile(path);
    }

    private static String ofFolder(Path folder) throws IOException {
        MessageDigest digest = sha256();
        for (String name : relativeNames(folder)) {
            Path file = folder.resolve(name);
            if (!Files.isRegularFile(file, LinkOption.NOFOLLOW_LINKS)) {
                throw new IOException(file + " is no plain file");
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

    /** Digest of a text in UTF-8. */
    static String ofText(String text) {
        return HEX.formatHex(sha256().digest(text.getBytes(StandardCharsets.UTF_8)));
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("each Java has SHA-256", e);
        }
    }
}
