package loadbalancer.snapshot;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * The last two generations of a file. A new one is written beside them, forced to the medium, and
 * then takes the name of the last; a crash at any step leaves a complete one. For one thread at a
 * time; it blocks.
 */
public final class TwoGenerationFiles {
    private final Storage storage;
    private final String lastName;
    private final String previousName;
    private final String temporaryName;

    /**
     * Of one file.
     *
     * @param writerId tells processes apart that write at the same time
     */
    public TwoGenerationFiles(Storage storage, String fileName, String writerId) {
        this.storage = storage;
        this.lastName = fileName;
        this.previousName = fileName + ".1";
        this.temporaryName = fileName + "." + writerId + ".new";
    }

    /** Decodes the bytes of a file. */
    public interface Decoder<T> {
        /**
         * Returns the content.
         *
         * @throws InvalidSnapshotException if the bytes can't be used
         */
        T decode(byte[] bytes) throws InvalidSnapshotException;
    }

    /**
     * What was read.
     *
     * @param content of the last valid file; null if there is none
     * @param rejections a line for each file that was not valid
     */
    public record ReadResult<T>(T content, List<String> rejections) {}

    /**
     * Writes a new generation.
     *
     * @throws IOException if the storage fails; one generation stays complete
     */
    public void write(byte[] bytes) throws IOException {
        storage.write(temporaryName, bytes);
        if (storage.has(lastName)) {
            storage.rename(lastName, previousName);
        }
        storage.rename(temporaryName, lastName);
        storage.sync();
    }

    /** Reads the last generation that is valid and has at most {@code maxBytes}. */
    public <T> ReadResult<T> read(int maxBytes, Decoder<T> decoder) {
        List<String> rejections = new ArrayList<>();
        for (String name : List.of(lastName, previousName)) {
            if (storage.has(name)) {
                try {
                    T content = decoder.decode(storage.read(name, maxBytes));
                    return new ReadResult<>(content, rejections);
                } catch (IOException e) {
                    rejections.add(name + " can't be read: " + e.getMessage());
                } catch (InvalidSnapshotException e) {
                    rejections.add(name + " is " + e.getMessage());
                }
            }
        }
        return new ReadResult<>(null, rejections);
    }
}
