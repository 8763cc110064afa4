package loadbalancer.snapshot;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Keeps the last two generations of a file. A new generation is written to a temporary file, forced
 * to the storage device and then renamed to the current one, so a crash at any step leaves a
 * complete generation. Not thread-safe; all methods block on the storage.
 */
public final class TwoGenerationFiles {
    private final Storage storage;
    private final String lastName;
    private final String previousName;
    private final String temporaryName;

    /**
     * Creates an accessor for the generations of one file.
     *
     * @param writerId unique id of this process among those that write concurrently; part of the
     *     temporary file's name
     */
    public TwoGenerationFiles(Storage storage, String fileName, String writerId) {
        this.storage = storage;
        this.lastName = fileName;
        this.previousName = fileName + ".1";
        this.temporaryName = fileName + "." + writerId + ".new";
    }

    /** Decodes the content of a file. */
    public interface Decoder<T> {
        /**
         * Returns the decoded content.
         *
         * @throws InvalidStoredFileException if the bytes are not valid
         */
        T decode(byte[] bytes) throws InvalidStoredFileException;
    }

    /**
     * Result of reading the generations.
     *
     * @param content decoded content of the most recent valid file; null if there is none
     * @param rejections one line for each file that was rejected, with its name and the reason
     */
    public record ReadResult<T>(T content, List<String> rejections) {}

    /**
     * Writes a new generation.
     *
     * @throws IOException if the storage fails; at least one complete generation remains if there
     *     was one
     */
    public void write(byte[] bytes) throws IOException {
        storage.write(temporaryName, bytes);
        if (storage.has(lastName)) {
            storage.rename(lastName, previousName);
        }
        storage.rename(temporaryName, lastName);
        storage.sync();
    }

    /** Reads the most recent generation that is valid and has at most {@code maxBytes}. */
    public <T> ReadResult<T> read(int maxBytes, Decoder<T> decoder) {
        List<String> rejections = new ArrayList<>();
        for (String name : List.of(lastName, previousName)) {
            if (storage.has(name)) {
                try {
                    T content = decoder.decode(storage.read(name, maxBytes));
                    return new ReadResult<>(content, rejections);
                } catch (IOException e) {
                    rejections.add(name + " can't be read: " + e.getMessage());
                } catch (InvalidStoredFileException e) {
                    rejections.add(name + " is " + e.getMessage());
                }
            }
        }
        return new ReadResult<>(null, rejections);
    }
}
