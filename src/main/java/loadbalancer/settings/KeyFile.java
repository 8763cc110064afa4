package loadbalancer.settings;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.Base64;
import java.util.HexFormat;

/**
 * Reads a secret key from a file with one line of hex or base64. Exception messages never contain
 * any of the file's content.
 */
final class KeyFile {
    /** Minimum key length, which is the output length of the signing hash. */
    private static final int MIN_KEY_BYTES = 32;

    private static final int MAX_LINE_BYTES = 1_024;

    private KeyFile() {}

    /**
     * Reads a key.
     *
     * @param operatorFile settings file that refers to the key file
     * @param setting setting in the operator file that has the path of the key file
     * @param name path of the key file
     * @throws InvalidOperatorFileException if the key can't be read or decoded, or is too short
     */
    static byte[] read(Path operatorFile, String setting, String name)
            throws InvalidOperatorFileException {
        String place = operatorFile + " " + setting + ": " + name;
        byte[] key = decode(place, readLine(place, name));
        if (key.length < MIN_KEY_BYTES) {
            throw new InvalidOperatorFileException(
                    place,
                    "key of "
                            + key.length
                            + " bytes, but at least "
                            + MIN_KEY_BYTES
                            + " are required");
        }
        return key;
    }

    private static String readLine(String place, String name) throws InvalidOperatorFileException {
        try (InputStream in = Files.newInputStream(Path.of(name))) {
            byte[] bytes = in.readNBytes(MAX_LINE_BYTES + 1);
            if (bytes.length > MAX_LINE_BYTES) {
                throw new InvalidOperatorFileException(
                        place, "file has more than " + MAX_LINE_BYTES + " bytes");
            }
            return new String(bytes, StandardCharsets.US_ASCII).strip();
        } catch (IOException | InvalidPathException e) {
            throw new InvalidOperatorFileException(place, "can't be read");
        }
    }

    private static byte[] decode(String place, String line) throws InvalidOperatorFileException {
        try {
            // The hex form of 32 or more bytes may also be valid base64 of another key, so hex
            // takes precedence.
            return line.matches("([0-9a-fA-F]{2})+")
                    ? HexFormat.of().parseHex(line)
                    : Base64.getDecoder().decode(line);
        } catch (IllegalArgumentException e) {
            throw new InvalidOperatorFileException(place, "expected one line of hex or base64");
        }
    }
}
