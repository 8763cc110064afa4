package loadbalancer.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A signal that will never come is said at the start, and not found out when it is needed. */
class LifecycleTest {
    private static List<String> saysWithout(String ignored) throws ReflectiveOperationException {
        ByteArrayOutputStream said = new ByteArrayOutputStream();
        new Lifecycle(new PrintStream(said, true, StandardCharsets.UTF_8), code -> {})
                .listenTo((name, body) -> !name.equals(ignored));
        return said.toString(StandardCharsets.UTF_8).lines().toList();
    }

    @ParameterizedTest
    @ValueSource(strings = {"HUP", "TERM"})
    void ignoredSignalIsSaidInOneLine(String name) throws ReflectiveOperationException {
        List<String> lines = saysWithout(name);
        assertEquals(1, lines.size());
        assertTrue(lines.get(0).startsWith("SIG" + name + " is ignored"), lines.get(0));
    }

    @Test
    void nothingIsSaidOfSignalsThatCome() throws ReflectiveOperationException {
        assertEquals(List.of(), saysWithout(""));
    }

    /** The JVM itself tells of a signal that is ignored by what it had for a handler. */
    @Test
    void systemTellsThatASignalComes() throws ReflectiveOperationException {
        assertTrue(Signals.ofSystem("USR2", () -> {}));
    }
}
