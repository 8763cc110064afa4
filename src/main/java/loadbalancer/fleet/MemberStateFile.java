package loadbalancer.fleet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import loadbalancer.fleet.codec.Items;
import loadbalancer.fleet.replication.DurableMemberState;
import loadbalancer.fleet.replication.Item;
import loadbalancer.snapshot.Envelope;
import loadbalancer.snapshot.InvalidSnapshotException;
import loadbalancer.snapshot.Storage;
import loadbalancer.snapshot.TwoGenerationFiles;

/**
 * What a member must know over a crash, on a disk: {@code NAME.fleet} and the one before. Behind
 * its first line {@code yewyoke-fleet VERSION LENGTH CRC32C} stand items as on the wire: pledges
 * are documents of version 1, notes are documents of version 2, flags are flags; the memoir's
 * generation is that of a document of version 3.
 */
public final class MemberStateFile {
    /**
     * Larger ones are neither written nor read: all flags that the members of a large roster may
     * have.
     */
    static final int MOST_BYTES = 16 << 20;

    private static final Envelope ENVELOPE = new Envelope("yewyoke-fleet", "memoir", 1, MOST_BYTES);
    private static final int PLEDGE = 1;
    private static final int NOTE = 2;
    private static final int GENERATION = 3;

    private final TwoGenerationFiles files;
    private final String name;

    /**
     * Of the member of that name; {@code writer} tells processes apart that write at the same time.
     */
    public MemberStateFile(Storage disk, String name, String writer) {
        this.name = name;
        this.files = new TwoGenerationFiles(disk, fileName(name) + ".fleet", writer);
    }

    /** A member's name may have what a file's may not. */
    private static String fileName(String name) {
        return name.replaceAll("[^A-Za-z0-9._-]", "_");
    }

    /** What was found, or null; and a line for each file that was refused. */
    public TwoGenerationFiles.Found<DurableMemberState> read() {
        return files.read(MOST_BYTES, this::read);
    }

    /** Keeps it; once this returns it outlives a crash. */
    public void write(DurableMemberState memoir) throws IOException {
        try {
            files.write(bytes(name, memoir));
        } catch (InvalidSnapshotException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    private static byte[] bytes(String name, DurableMemberState memoir)
            throws InvalidSnapshotException {
        List<Item> items = new ArrayList<>(memoir.flags());
        items.add(
                new Item.Document(
                        "generation", name, memoir.generation(), GENERATION, new byte[0]));
        memoir.pledges()
                .forEach(
                        (topic, body) ->
                                items.add(
                                        new Item.Document(
                                                topic, name, memoir.generation(), PLEDGE, body)));
        memoir.notes()
                .forEach(
                        (key, body) ->
                                items.add(
                                        new Item.Document(
                                                key, name, memoir.generation(), NOTE, body)));
        return ENVELOPE.around(Items.bytes(items));
    }

    private DurableMemberState read(byte[] all) throws InvalidSnapshotException {
        int from = ENVELOPE.open(all);
        Items.Read read;
        try {
            read = Items.read(Arrays.copyOfRange(all, from, all.length));
        } catch (IOException e) {
            throw new InvalidSnapshotException(
                    "not understood: " + e.getMessage().lines().findFirst().orElse(""));
        }
        long generation = -1;
        Map<String, byte[]> pledges = new TreeMap<>();
        Map<String, byte[]> notes = new TreeMap<>();
        List<Item.Flag> flags = new ArrayList<>();
        for (Item item : read.items()) {
            if (item instanceof Item.Flag f) {
                flags.add(f);
            } else if (item instanceof Item.Document d && d.member().equals(name)) {
                switch ((int) d.version()) {
                    case PLEDGE -> pledges.put(d.topic(), d.body());
                    case NOTE -> notes.put(d.topic(), d.body());
                    case GENERATION -> generation = d.incarnation();
                    default -> {}
                }
            }
        }
        if (generation < 0) {
            throw new InvalidSnapshotException("of another member than " + name);
        }
        return new DurableMemberState(generation, pledges, flags, notes);
    }
}
