package loadbalancer.fleet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import loadbalancer.fleet.codec.ItemCodec;
import loadbalancer.fleet.replication.DurableMemberState;
import loadbalancer.fleet.replication.Item;
import loadbalancer.snapshot.FileEnvelope;
import loadbalancer.snapshot.InvalidStoredFileException;
import loadbalancer.snapshot.Storage;
import loadbalancer.snapshot.TwoGenerationFiles;

/**
 * Stores the durable state of a member on disk, as {@code NAME.fleet} and the previous version of
 * that file. The first line is {@code yewyoke-fleet VERSION LENGTH CRC32C}; items follow in their
 * wire encoding: flags, and documents whose version number identifies their content ({@link
 * MemberStateFieldNames}). Not for concurrent use.
 */
public final class MemberStateFile {
    /** Enough for all flags of a large roster; larger files are neither written nor read. */
    static final int MAX_FILE_BYTES = 16 << 20;

    private static final FileEnvelope ENVELOPE =
            new FileEnvelope(
                    MemberStateFieldNames.MAGIC,
                    "member state",
                    MemberStateFieldNames.FORMAT_VERSION,
                    MAX_FILE_BYTES);

    private final TwoGenerationFiles files;
    private final String name;

    /**
     * Opens the files of one member; reads and writes nothing yet.
     *
     * @param name the member's name, from which the file name is derived
     * @param writer a name that distinguishes processes that write at the same time
     */
    public MemberStateFile(Storage disk, String name, String writer) {
        this.name = name;
        this.files =
                new TwoGenerationFiles(
                        disk, fileName(name) + MemberStateFieldNames.FILE_SUFFIX, writer);
    }

    /** Replaces characters that are valid in a member's name but not in a file name. */
    private static String fileName(String memberName) {
        return memberName.replaceAll("[^A-Za-z0-9._-]", "_");
    }

    /**
     * Reads the latest valid state, null if there is none, with one line for each file that was
     * rejected.
     */
    public TwoGenerationFiles.ReadResult<DurableMemberState> read() {
        return files.read(MAX_FILE_BYTES, this::decode);
    }

    /**
     * Writes the state, which survives a crash from the return of this method on.
     *
     * @throws IOException if the state exceeds the maximum file size, or if a write fails
     */
    public void write(DurableMemberState state) throws IOException {
        try {
            files.write(encode(state));
        } catch (InvalidStoredFileException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    private byte[] encode(DurableMemberState state) throws InvalidStoredFileException {
        List<Item> items = new ArrayList<>(state.flags());
        items.add(
                document(
                        state,
                        MemberStateFieldNames.INCARNATION_TOPIC,
                        MemberStateFieldNames.INCARNATION,
                        new byte[0]));
        state.durableDocuments()
                .forEach(
                        (topic, body) ->
                                items.add(
                                        document(
                                                state,
                                                topic,
                                                MemberStateFieldNames.DURABLE_DOCUMENT,
                                                body)));
        state.records()
                .forEach(
                        (key, bytes) ->
                                items.add(
                                        document(state, key, MemberStateFieldNames.RECORD, bytes)));
        return ENVELOPE.wrap(ItemCodec.encode(items));
    }

    private Item document(DurableMemberState state, String topic, int version, byte[] body) {
        return new Item.Document(topic, name, state.incarnation(), version, body);
    }

    private DurableMemberState decode(byte[] bytes) throws InvalidStoredFileException {
        long incarnation = -1;
        Map<String, byte[]> durableDocuments = new TreeMap<>();
        Map<String, byte[]> records = new TreeMap<>();
        List<Item.Flag> flags = new ArrayList<>();
        for (Item item : decodeItems(bytes)) {
            if (item instanceof Item.Flag flag) {
                flags.add(flag);
            } else if (item instanceof Item.Document document && document.member().equals(name)) {
                switch ((int) document.version()) {
                    case MemberStateFieldNames.DURABLE_DOCUMENT ->
                            durableDocuments.put(document.topic(), document.body());
                    case MemberStateFieldNames.RECORD ->
                            records.put(document.topic(), document.body());
                    case MemberStateFieldNames.INCARNATION -> incarnation = document.incarnation();
                    default -> {}
                }
            }
        }
        if (incarnation < 0) {
            throw new InvalidStoredFileException("of another member than " + name);
        }
        return new DurableMemberState(incarnation, durableDocuments, flags, records);
    }

    private static List<Item> decodeItems(byte[] bytes) throws InvalidStoredFileException {
        int from = ENVELOPE.payloadOffset(bytes);
        try {
            return ItemCodec.decode(Arrays.copyOfRange(bytes, from, bytes.length)).items();
        } catch (IOException e) {
            String firstLine = e.getMessage().lines().findFirst().orElse("");
            throw new InvalidStoredFileException("malformed: " + firstLine);
        }
    }
}
