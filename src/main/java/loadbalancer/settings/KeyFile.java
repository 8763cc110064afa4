package loadbalancer.settings;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.Base64;
import java.util.HexFormat;

/** Reads a secret key from a file of one line of hex or base64. Messages never show its content. */
final class KeyFile {
    /** As many bytes as the hash that signs with the key has. */
    private static final int MIN_KEY_BYTES = 32;

    private static final int MAX_LINE_BYTES = 1_024;

    private KeyFile() {}

    /**
     * Reads a key.
     *
     * @param operatorFile that names the key file
     * @param setting that names it there
     * @throws InvalidOperatorFileException if the key can't be read, or is too short
     */
    static byte[] read(Path operatorFile, String setting, String name)
            throws InvalidOperatorFileException {
        String place = operatorFile + " " + setting + ": " + name;
        byte[] key = decode(place, readLine(place, name));
        if (key.length < MIN_KEY_BYTES) {
            throw new InvalidOperatorFileException(
                    place, "a key of " + key.length + " bytes, " + MIN_KEY_BYTES + " are needed");
        }
        return key;
    }

    private static String readLine(String place, String name) throws InvalidOperatorFileException {
        try (InputStream in = Files.newInputStream(Path.of(name))) {
            byte[] bytes = in.readNBytes(MAX_LINE_BYTES + 1);
            if (bytes.length > MAX_LINE_BYTES) {
                throw new InvalidOperatorFileException(
                        place, "more than " + MAX_LINE_BYTES + " bytes");
            }
            return new String(bytes, StandardCharsets.US_ASCII).strip();
        } catch (IOException | InvalidPathException e) {
            throw new InvalidOperatorFileException(place, "can't be read");
        }
    }

    private static byte[] decode(String place, String line) throws InvalidOperatorFileException {
        try {
            // Hex of 32 bytes and more is valid base64 of another key too, so hex comes first.
            return line.matches("([0-9a-fA-F]{2})+")
                    ? HexFormat.of().parseHex(line)
                    : Base64.getDecoder().decode(line);
        } catch (IllegalArgumentException e) {
            throw new InvalidOperatorFileException(place, "expected one line of hex or base64");
        }
    }
}
