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

/**
 * The start must report a signal that the process ignores, as it can't be stopped or reloaded by
 * it.
 */
class LifecycleTest {
    private static List<String> outputIfIgnored(String signal) throws ReflectiveOperationException {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        new Lifecycle(new PrintStream(output, true, StandardCharsets.UTF_8), code -> {})
                .handleSignals((name, handler) -> !name.equals(signal));
        return output.toString(StandardCharsets.UTF_8).lines().toList();
    }

    @ParameterizedTest
    @ValueSource(strings = {"HUP", "TERM"})
    void reportsIgnoredSignalInOneLine(String name) throws ReflectiveOperationException {
        List<String> lines = outputIfIgnored(name);
        assertEquals(1, lines.size());
        assertTrue(lines.get(0).startsWith("SIG" + name + " is ignored"), lines.get(0));
    }

    @Test
    void printsNothingIfNoSignalIsIgnored() throws ReflectiveOperationException {
        assertEquals(List.of(), outputIfIgnored(""));
    }

    /** {@link Signals#ofSystem} must return true for a signal that the process does not ignore. */
    @Test
    void installsHandlerOfSystemSignal() throws ReflectiveOperationException {
        assertTrue(Signals.ofSystem("USR2", () -> {}));
    }
}
