package loadbalancer.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import loadbalancer.snapshot.InvalidStoredFileException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Two processes exchange a state while both run, and go on without where they can't. */
class SharedStateExchangeTest {
    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final RecordingFiles files = new RecordingFiles();
    private final TextState state = new TextState();
    private final SharedStateExchange<String> exchange =
            new SharedStateExchange<>(new SiblingWithFiles(), group.next(), Runnable::run, state);

    @AfterEach
    void shutDownLoop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Files of which the other process's are set by the test. */
    private static final class RecordingFiles implements SiblingFiles {
        private final List<String> written = new ArrayList<>();
        private byte[] other;
        private int reads;
        private boolean isFull;

        void shareOther(String text) {
            other = text.getBytes(StandardCharsets.UTF_8);
        }

        @Override
        public void write(String name, byte[] content) throws IOException {
            if (isFull) {
                throw new IOException("no space left");
            }
            written.add(new String(content, StandardCharsets.UTF_8));
        }

        @Override
        public Object otherStamp(String name) {
            return other;
        }

        @Override
        public byte[] readOther(String name, int maxBytes) {
            reads++;
            return other;
        }
    }

    private final class SiblingWithFiles implements SiblingProcess {
        @Override
        public boolean isRunning() {
            return true;
        }

        @Override
        public boolean isListening() {
            return true;
        }

        @Override
        public void setListening(boolean isListening) {}

        @Override
        public Optional<SiblingFiles> files() {
            return Optional.of(files);
        }

        @Override
        public void close() {}
    }

    private static final class TextState implements SharedState<String> {
        private final List<String> adopted = new ArrayList<>();
        private String text = "own";
        private long changeCount;
        private boolean hasLearnt;

        void change(String next) {
            text = next;
            changeCount++;
        }

        @Override
        public String name() {
            return "text";
        }

        @Override
        public int maxBytes() {
            return 100;
        }

        @Override
        public long changeCount() {
            return changeCount;
        }

        @Override
        public boolean hasLearntSinceStart() {
            return hasLearnt;
        }

        @Override
        public Optional<Encoder> encoder() {
            String copy = text;
            return Optional.of(() -> copy.getBytes(StandardCharsets.UTF_8));
        }

        @Override
        public String decode(byte[] content) throws InvalidStoredFileException {
            String decoded = new String(content, StandardCharsets.UTF_8);
            if (decoded.equals("torn")) {
                throw new InvalidStoredFileException("torn");
            }
            if (decoded.equals("unexpected")) {
                throw new IllegalStateException("unexpected");
            }
            return decoded;
        }

        @Override
        public void adopt(String other) {
            adopted.add(other);
        }
    }

    private void poll(boolean isSiblingRunning, boolean startedSecond) throws Exception {
        group.next().submit(() -> exchange.poll(isSiblingRunning, startedSecond)).sync();
        group.next().submit(() -> {}).sync(); // the result of the access has been handled
    }

    @Test
    void withoutSiblingAccessesNoFile() throws Exception {
        files.shareOther("left by an earlier process");
        poll(false, false);
        assertTrue(files.written.isEmpty());
        assertEquals(0, files.reads);
    }

    @Test
    void firstProcessSharesItsStateAtOnceAndAfterEachChange() throws Exception {
        poll(true, false);
        poll(true, false);
        assertEquals(List.of("own"), files.written);
        state.change("changed");
        poll(true, false);
        poll(true, false);
        assertEquals(List.of("own", "changed"), files.written);
    }

    /** Otherwise an old list of a configuration could take the place of a newer one. */
    @Test
    void secondProcessSharesNothingBeforeItHasLearntSomething() throws Exception {
        poll(true, true);
        assertTrue(files.written.isEmpty());
        state.hasLearnt = true;
        poll(true, true);
        assertEquals(List.of("own"), files.written);
    }

    @Test
    void eachContentOfTheOtherProcessIsAdoptedOnce() throws Exception {
        files.shareOther("first");
        poll(true, true);
        poll(true, true);
        files.shareOther("second");
        poll(true, true);
        assertEquals(List.of("first", "second"), state.adopted);
        assertEquals(2, files.reads);
    }

    @Test
    void afterTheEndOfTheSiblingItsLastContentIsAdopted() throws Exception {
        poll(true, true);
        files.shareOther("last");
        poll(false, false);
        assertEquals(List.of("last"), state.adopted);
        files.shareOther("left by another process");
        poll(false, false);
        assertEquals(List.of("last"), state.adopted);
    }

    @Test
    void nextSiblingGetsTheStateToo() throws Exception {
        poll(true, false);
        poll(false, false);
        poll(true, false);
        assertEquals(List.of("own", "own"), files.written);
    }

    @Test
    void fullFolderCostsOnlyTheSharingAndIsTriedAgain() throws Exception {
        files.isFull = true;
        files.shareOther("of the other");
        poll(true, false);
        assertEquals(List.of("of the other"), state.adopted);
        files.isFull = false;
        poll(true, false);
        assertEquals(List.of("own"), files.written);
    }

    @Test
    void contentThatCannotBeDecodedIsReadOnceAndTheNextOneIsAdopted() throws Exception {
        for (String broken : List.of("torn", "unexpected")) {
            files.shareOther(broken);
            files.reads = 0;
            poll(true, true);
            poll(true, true);
            assertEquals(1, files.reads, broken);
        }
        assertTrue(state.adopted.isEmpty());
        files.shareOther("whole");
        poll(true, true);
        assertEquals(List.of("whole"), state.adopted);
    }
}
