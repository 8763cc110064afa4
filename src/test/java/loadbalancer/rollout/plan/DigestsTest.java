package loadbalancer.rollout.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class DigestsTest {
    @TempDir Path folder;

    @Test
    void folderDigestCoversSortedNamesAndContents() throws Exception {
        Files.createDirectories(folder.resolve("p/lib"));
        Files.writeString(folder.resolve("p/yewyoke.jar"), "jar");
        Files.writeString(folder.resolve("p/lib/a.jar"), "a");
        String digest = Digests.ofPath(folder.resolve("p"));
        // (cd p; find . -type f | sed 's|^./||' | LC_ALL=C sort | xargs sha256sum | sha256sum)
        assertEquals("25c112a0002cfb211c04f319e769924dab21e5f6f23278202d3c20efa80c0214", digest);
        Files.move(folder.resolve("p/lib/a.jar"), folder.resolve("p/lib/b.jar"));
        assertNotEquals(digest, Digests.ofPath(folder.resolve("p")));
        Files.createSymbolicLink(folder.resolve("p/link"), folder.resolve("elsewhere"));
        assertThrows(IOException.class, () -> Digests.ofPath(folder.resolve("p")));
        assertThrows(IOException.class, () -> Digests.ofPath(folder.resolve("missing")));
    }
}
