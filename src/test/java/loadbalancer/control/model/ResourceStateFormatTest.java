package loadbalancer.control.model;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ResourceStateFormatTest {
    private static ResourceState twoServices() {
        ResourceState state = new ResourceState();
        state.apply(
                new Revision(1, 1),
                new Change(
                        "c1",
                        List.of(
                                new Service("shop", List.of("a"), List.of()),
                                new Tenant("shop", "Zoë", 12.5, 0.25)),
                        List.of()));
        state.apply(
                new Revision(2, 2),
                new Change(
                        "c2",
                        List.of(
                                new Service("other", List.of(), List.of("m1")),
                                new Upstream(
                                        "other", "u", "10.0.0.1:80", "a", "", 3, null, 1.5, 7)),
                        List.of()));
        state.advance(new Revision(3, 2));
        return state;
    }

    private static Set<VersionedResource> resources(ResourceState state) {
        return state.resources().collect(Collectors.toSet());
    }

    private static void assertSame(ResourceState expected, ResourceState actual) {
        assertEquals(expected.revision(), actual.revision());
        assertEquals(resources(expected), resources(actual));
        assertEquals(expected.digest(Scope.ALL), actual.digest(Scope.ALL));
    }

    private static String rejection(byte[] bytes) {
        String message =
                assertThrows(InvalidChangeException.class, () -> ResourceStateFormat.read(bytes))
                        .getMessage();
        assertEquals(1, message.lines().count(), message);
        return message;
    }

    @Test
    void readsBackWhatItWrote() throws InvalidChangeException {
        assertSame(
                twoServices(), ResourceStateFormat.read(ResourceStateFormat.write(twoServices())));
    }

    @Test
    void readsBackEmptyState() throws InvalidChangeException {
        ResourceState empty = new ResourceState();
        assertSame(empty, ResourceStateFormat.read(ResourceStateFormat.write(empty)));
    }

    @Test
    void rejectsTruncationAtEveryByte() {
        byte[] complete = ResourceStateFormat.write(twoServices());
        for (int length = 0; length < complete.length; length++) {
            rejection(Arrays.copyOf(complete, length));
        }
    }

    /** A flipped bit may be harmless, such as one that changes a hex digit to upper case. */
    @Test
    void neverReadsDifferentStateAfterAnyBitFlip() {
        byte[] complete = ResourceStateFormat.write(twoServices());
        int rejected = 0;
        for (int bit = 0; bit < complete.length * Byte.SIZE; bit++) {
            byte[] damaged = complete.clone();
            damaged[bit / Byte.SIZE] ^= (byte) (1 << bit % Byte.SIZE);
            try {
                assertSame(twoServices(), ResourceStateFormat.read(damaged));
            } catch (InvalidChangeException e) {
                assertEquals(1, e.getMessage().lines().count(), e.getMessage());
                rejected++;
            }
        }
        assertTrue(
                rejected > complete.length * Byte.SIZE / 2,
                rejected + " of the bit flips rejected");
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"format\":1 | \"format\":2 | state header: has format 2, and this program reads"
                        + " 1",
                "\"revision\":\"3.2\" | \"revision\":\"3.3\" | state header: is damaged: its"
                        + " checksum differs",
                "12.5 | 12.6 | state: is damaged: its digest is",
                "\"revision\":\"1.1\" | \"revision\":\"9.1\" | is newer than the state's revision"
                        + " 3.2",
                "\"kind\":\"tenant\" | \"kind\":\"planet\" | state line "
            })
    void rejectsModifiedFileWithPlaceAndReason(String part, String replacement, String expected) {
        String text =
                new String(ResourceStateFormat.write(twoServices()), UTF_8)
                        .replace(part, replacement);
        String message = rejection(text.getBytes(UTF_8));
        assertTrue(message.contains(expected), message);
    }

    @Test
    void rejectsMissingAndDuplicateLine() {
        String text = new String(ResourceStateFormat.write(twoServices()), UTF_8);
        String without = text.substring(0, text.lastIndexOf('\n', text.length() - 2) + 1);
        assertEquals(
                "state: has 3 resources, but its header declares 4",
                rejection(without.getBytes(UTF_8)));
        String twice = text + text.substring(without.length());
        assertTrue(rejection(twice.getBytes(UTF_8)).endsWith(" occurs twice"));
    }
}
