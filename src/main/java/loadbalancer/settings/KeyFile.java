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
 * A key in a file of its own: one line of hex or base64. What is in it never shows in a message.
 */
final class KeyFile {
    /** Bytes of a key: as many as the hash that signs has. */
    private static final int SHORTEST = 32;

    private static final int LONGEST_LINE = 1_024;

    private KeyFile() {}

    static byte[] read(Path from, String setting, String name) throws InvalidOperatorFileException {
        String place = from + " " + setting + ": " + name;
        String line;
        try (InputStream in = Files.newInputStream(Path.of(name))) {
            byte[] bytes = in.readNBytes(LONGEST_LINE + 1);
            if (bytes.length > LONGEST_LINE) {
                throw new InvalidOperatorFileException(
                        place, "more than " + LONGEST_LINE + " bytes");
            }
            line = new String(bytes, StandardCharsets.US_ASCII).strip();
        } catch (IOException | InvalidPathException e) {
            throw new InvalidOperatorFileException(place, "can't be read");
        }
        byte[] key;
        try {
            // Hex of 32 bytes and more is base64 too, of another key: hex goes first.
            key =
                    line.matches("([0-9a-fA-F]{2})+")
                            ? HexFormat.of().parseHex(line)
                            : Base64.getDecoder().decode(line);
        } catch (IllegalArgumentException e) {
            throw new InvalidOperatorFileException(place, "expected one line of hex or base64");
        }
        if (key.length < SHORTEST) {
            throw new InvalidOperatorFileException(
                    place, "a key of " + key.length + " bytes, " + SHORTEST + " are needed");
        }
        return key;
    }
}
