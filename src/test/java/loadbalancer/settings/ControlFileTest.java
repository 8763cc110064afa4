package loadbalancer.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import loadbalancer.control.publish.PublisherLimits;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ControlFileTest {
    private static final String WRITER =
            "role = \"writer\"\nname = \"c1\"\nlisten = \"127.0.0.1:0\"\nfolder = \"log\"\n";
    private static final String FOLLOWER =
            "role = \"follower\"\nname = \"c2\"\nlisten = \"127.0.0.1:9801\"\n"
                    + "follow = [\"127.0.0.1:9800\"]\n";

    @TempDir Path folder;

    private ControlFile read(String text) throws IOException, InvalidOperatorFileException {
        return ControlFile.read(Files.writeString(folder.resolve("control.toml"), text));
    }

    private String rejectionMessage(String text) {
        String message =
                assertThrows(InvalidOperatorFileException.class, () -> read(text)).getMessage();
        assertEquals(1, message.lines().count(), message);
        return message;
    }

    @Test
    void exampleFileConfiguresWriterWithDefaultLimits() throws Exception {
        ControlFile file = ControlFile.read(Path.of("deploy", "control.toml"));
        assertEquals(
                new ControlFile(
                        ControlFile.Role.WRITER,
                        "control-1",
                        "10.0.0.1:9800",
                        "control",
                        List.of(),
                        0,
                        PublishLimitsSection.DEFAULT),
                file);
    }

    /**
     * The settings package does not depend on the publisher, so the defaults are defined in both.
     */
    @Test
    void defaultLimitsEqualThoseOfThePublisher() {
        PublishLimitsSection limits = PublishLimitsSection.DEFAULT;
        assertEquals(
                PublisherLimits.DEFAULT,
                new PublisherLimits(
                        limits.maxSubscribers(),
                        limits.admissionsPerSecond(),
                        limits.bytesPerSecond(),
                        limits.subscriberBytesPerSecond(),
                        limits.partBytes(),
                        limits.heartbeatMillis(),
                        limits.retainedDeletions()));
    }

    @Test
    void readsEveryKey() throws Exception {
        assertEquals(
                new ControlFile(
                        ControlFile.Role.FOLLOWER,
                        "c2",
                        "127.0.0.1:9801",
                        "",
                        List.of("127.0.0.1:9800"),
                        0,
                        PublishLimitsSection.DEFAULT),
                read(FOLLOWER));
        ControlFile writer =
                read(
                        WRITER
                                + "epoch = 7\n"
                                + "[limits]\n"
                                + "max-subscribers = 1\n"
                                + "admissions-per-second = 0.5\n"
                                + "bytes-per-second = 4096\n"
                                + "subscriber-bytes-per-second = 2048\n"
                                + "part-bytes = 1024\n"
                                + "heartbeat-ms = 100\n"
                                + "retained-deletions = 0\n");
        assertEquals(7, writer.minEpoch());
        assertEquals("log", writer.folder());
        assertEquals(
                new PublishLimitsSection(1, 0.5, 4_096, 2_048, 1_024, 100, 0), writer.limits());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "role = \"writer\" | role = \"boss\" | toml role: expected writer or follower, got"
                        + " \"boss\"",
                "role = \"writer\" | | toml role: is required",
                "\"c1\" | \"c 1\" | toml name: expected 1 to 64 printable characters",
                "\"c1\" | 1 | toml name: expected a string",
                "127.0.0.1:0 | localhost:1 | toml listen: expected an address like 10.0.0.1:9700",
                "folder = \"log\" | | toml folder: is required",
                "folder = \"log\" | folder = \"log\"\\nfollow = [\"127.0.0.1:1\"]"
                        + " | toml follow: is only allowed for the role"
                        + " follower; this server is a writer",
                "folder = \"log\" | folder = \"log\"\\n"
                        + "epoch = -1 | toml epoch: expected an integer from 0 to",
                "folder = \"log\" | folder = \"log\"\\n"
                        + "epoch = 1.5 | toml epoch: expected an integer from 0 to",
                "folder = \"log\" | folder = \"log\"\\n"
                        + "epoch = 99999999999999999999 | toml epoch: expected an integer",
                "folder = | dir = | toml dir: unknown key; expected one of role, name",
                "role = | role == | toml line 1"
            })
    void rejectsInvalidKeyWithOneLineThatNamesIt(String part, String other, String expected) {
        String message =
                rejectionMessage(
                        WRITER.replace(part, other == null ? "" : other.replace("\\n", "\n")));
        assertTrue(message.contains(expected), message);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "follow = [\"127.0.0.1:9800\"] | | toml follow: expected a list of at"
                        + " most 16 strings",
                "\"127.0.0.1:9800\" | | toml follow: expected at least one address",
                "\"127.0.0.1:9800\" | \"127.0.0.1:0\" | toml follow: expected an address",
                "\"127.0.0.1:9800\" | \"127.0.0.1:1\", \"127.0.0.1:1\" | toml follow: 127.0.0.1:1"
                        + " is listed twice",
                "follow = | epoch = 2\\n"
                        + "follow = | toml epoch: is only allowed for the role writer; this"
                        + " server is a follower"
            })
    void rejectsInvalidFollowerFile(String part, String other, String expected) {
        String message =
                rejectionMessage(
                        FOLLOWER.replace(part, other == null ? "" : other.replace("\\n", "\n")));
        assertTrue(message.contains(expected), message);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "limits = 1 | limits: expected a section [limits]",
                "[limits]\\nmost = 1 | limits.most: unknown key; expected one of max-subscribers",
                "[limits]\\n"
                        + "max-subscribers = 0 | limits.max-subscribers: expected an integer from 1"
                        + " to 100000",
                "[limits]\\n"
                    + "admissions-per-second = 0 | limits.admissions-per-second: expected a number"
                    + " above 0",
                "[limits]\\n"
                        + "admissions-per-second = nan | limits.admissions-per-second: expected a"
                        + " number above 0",
                "[limits]\\n"
                        + "bytes-per-second = 1023 | limits.bytes-per-second: expected an integer"
                        + " from 1024",
                "[limits]\\n"
                        + "bytes-per-second = 2048 | limits.subscriber-bytes-per-second: exceeds"
                        + " limits.bytes-per-second, 2048",
                "[limits]\\n"
                    + "subscriber-bytes-per-second = \"x\" | limits.subscriber-bytes-per-second:"
                    + " expected",
                "[limits]\\n"
                        + "part-bytes = 300000 | limits.part-bytes: expected an integer from 1024"
                        + " to 262144",
                "[limits]\\n"
                        + "heartbeat-ms = 10001 | limits.heartbeat-ms: expected an integer from 100"
                        + " to 10000",
                "[limits]\\n"
                        + "retained-deletions = -1 | limits.retained-deletions: expected an integer"
                        + " from 0"
            })
    void rejectsInvalidLimit(String section, String expected) {
        String message = rejectionMessage(WRITER + section.replace("\\n", "\n"));
        assertTrue(message.contains(expected), message);
    }

    @Test
    void rejectsMissingFile() {
        assertTrue(
                assertThrows(
                                InvalidOperatorFileException.class,
                                () -> ControlFile.read(folder.resolve("none")))
                        .getMessage()
                        .endsWith("can't be read"));
    }
}
