package loadbalancer.faults;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import loadbalancer.fleet.MemberStateFile;
import loadbalancer.fleet.replication.DurableMemberState;
import loadbalancer.fleet.replication.Item;
import org.junit.jupiter.api.Test;

/** The stored state of a member, on a disk that fails or crashes at every step. */
class MemberStateFileTest {
    private final MemoryDisk disk = new MemoryDisk();
    private final MemberStateFile file = new MemberStateFile(disk, "lb/1", "a");

    private static DurableMemberState state(long incarnation) {
        return new DurableMemberState(
                incarnation,
                Map.of("calendar/held", new byte[] {1, 2}, "long", new byte[16_384]),
                List.of(new Item.Flag("rollout/halt", "lb-2", new byte[] {3})),
                Map.of("ring", new byte[] {4}));
    }

    private long incarnation() {
        DurableMemberState found = new MemberStateFile(disk, "lb/1", "b").read().content();
        return found == null ? -1 : found.incarnation();
    }

    @Test
    void writtenStateIsRestored() throws IOException {
        assertNull(file.read().content());
        file.write(state(1));
        file.write(state(2));
        DurableMemberState state = file.read().content();
        assertEquals(2, state.incarnation());
        assertArrayEquals(new byte[] {1, 2}, state.durableDocuments().get("calendar/held"));
        assertEquals(16_384, state.durableDocuments().get("long").length);
        assertArrayEquals(new byte[] {3}, state.flags().get(0).reason());
        assertArrayEquals(new byte[] {4}, state.records().get("ring"));
        assertEquals(List.of("lb_1.fleet", "lb_1.fleet.1"), List.copyOf(disk.files().keySet()));
    }

    @Test
    void crashAtAnyStepLeavesThePreviousOrTheNewState() throws IOException {
        boolean crashed = true;
        int steps = 0;
        for (; crashed; steps++) {
            disk.files().clear();
            file.write(state(1));
            file.write(state(2));
            disk.crashAfter(steps);
            crashed = false;
            try {
                file.write(state(3));
            } catch (MemoryDisk.Crash e) {
                crashed = true;
            }
            disk.crashAfter(Integer.MAX_VALUE);
            assertTrue(incarnation() == 3 || crashed && incarnation() == 2, "step " + steps);
        }
        assertEquals(5, steps, "write, two renames, sync, and none");
    }

    @Test
    void tornDamagedOrForeignFileIsRejectedWithOneLine() throws IOException {
        file.write(state(1));
        byte[] good = disk.files().get("lb_1.fleet");
        for (int length = 0; length < good.length; length += 97) {
            disk.files().put("lb_1.fleet", Arrays.copyOf(good, length));
            assertEquals(1, file.read().rejections().size());
            assertNull(file.read().content());
        }
        byte[] bad = good.clone();
        bad[bad.length - 9] ^= 1;
        disk.files().put("lb_1.fleet", bad);
        assertEquals(
                List.of("lb_1.fleet is damaged: its checksum is another one"),
                file.read().rejections());
        disk.files()
                .put(
                        "lb_1.fleet",
                        "yewyoke-state 1 0 00000000\n".getBytes(StandardCharsets.US_ASCII));
        assertEquals(
                List.of("lb_1.fleet is not a member state of this program"),
                file.read().rejections());
        disk.files().put("lb_1.fleet", good);
        assertEquals(
                List.of("lb_1.fleet is of another member than lb_1"),
                new MemberStateFile(disk, "lb_1", "a").read().rejections());
    }

    @Test
    void fullDiskLeavesThePreviousState() throws IOException {
        file.write(state(1));
        disk.full(true);
        assertThrows(IOException.class, () -> file.write(state(2)));
        assertEquals(1, incarnation());
    }
}
