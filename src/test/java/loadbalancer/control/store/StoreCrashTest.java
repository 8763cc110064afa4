package loadbalancer.control.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against loss of accepted changes by I/O errors and crashes. Injects a failure at every
 * single step, then at random steps of random histories, and compares with {@link StoreModel}.
 */
class StoreCrashTest {
    private static final int SEEDS_PER_STEP = 8;
    private static final int STEPS_OF_AN_OPENING = 12;
    private static final int HISTORIES = 300;
    private static final int STEPS_OF_A_HISTORY = 60;

    /** Opens the store twice, makes changes, and compacts older segments and snapshots. */
    private static void runScript(StoreModel model) throws IOException, DamagedLogException {
        model.open(0);
        model.change(1);
        model.store().compact();
        model.change(2);
        model.change(1);
        model.open(0);
        model.change(4);
        model.store().compact();
        model.change(1);
    }

    private static int countSteps() throws IOException, DamagedLogException {
        FaultyDirectory directory = new FaultyDirectory(0);
        runScript(new StoreModel(directory));
        return directory.steps();
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void losesNoAcceptedChangeAfterFailureAtAnyStep(boolean stops) throws Exception {
        int steps = countSteps();
        assertTrue(steps > 30, steps + " steps");
        for (int step = 1; step <= steps; step++) {
            for (int seed = 0; seed < SEEDS_PER_STEP; seed++) {
                FaultyDirectory directory = new FaultyDirectory(seed);
                StoreModel model = new StoreModel(directory);
                directory.failAt(step, stops);
                assertThrows(IOException.class, () -> runScript(model), "step " + step);
                directory.crash();
                model.open(0);
                model.change(7);
            }
        }
    }

    /**
     * The process restarts alone and reads bytes that the failed force left readable; then the
     * machine crashes.
     */
    @Test
    void keepsChangesAfterFailedForceRestartAndCrash() throws Exception {
        int steps = countSteps();
        for (int step = 1; step <= steps; step++) {
            for (int seed = 0; seed < SEEDS_PER_STEP; seed++) {
                FaultyDirectory directory = new FaultyDirectory(seed);
                StoreModel model = new StoreModel(directory);
                directory.failAt(step, false);
                assertThrows(IOException.class, () -> runScript(model), "step " + step);
                directory.restartProcess();
                model.open(0);
                directory.crash();
                model.open(0);
                model.change(7);
            }
        }
    }

    /** The machine crashes while the store is opened after a failed force and a restart. */
    @Test
    void keepsChangesAfterFailedForceAndCrashDuringOpening() throws Exception {
        int steps = countSteps();
        for (int step = 1; step <= steps; step++) {
            for (int stepOfOpening = 1; stepOfOpening <= STEPS_OF_AN_OPENING; stepOfOpening++) {
                for (int seed = 0; seed < SEEDS_PER_STEP; seed++) {
                    FaultyDirectory directory = new FaultyDirectory(seed);
                    StoreModel model = new StoreModel(directory);
                    directory.failAt(step, false);
                    assertThrows(IOException.class, () -> runScript(model), "step " + step);
                    directory.restartProcess();
                    directory.failAt(stepOfOpening, true);
                    tryOpen(model);
                    directory.crash();
                    model.open(0);
                }
            }
        }
    }

    @Test
    void acceptsNoChangeAfterIoError() throws Exception {
        FaultyDirectory directory = new FaultyDirectory(1);
        StoreModel model = new StoreModel(directory);
        model.open(0);
        model.change(1);
        directory.failAt(1, false);
        assertThrows(IOException.class, () -> model.change(2));
        assertFalse(model.store().isAvailable());
        model.compare();
        assertEquals(
                "the store accepts no changes: writing the log failed: injected failure",
                assertThrows(StoreUnavailableException.class, model::appendAgain).getMessage());
    }

    @Test
    void agreesWithModelInRandomHistories() throws Exception {
        for (int seed = 0; seed < HISTORIES; seed++) {
            runRandomHistory(new Random(seed), new FaultyDirectory(seed));
        }
    }

    private static void runRandomHistory(Random random, FaultyDirectory directory)
            throws Exception {
        StoreModel model = new StoreModel(directory);
        model.open(0);
        for (int step = 0; step < STEPS_OF_A_HISTORY; step++) {
            if (random.nextInt(6) == 0) {
                directory.failAt(1 + random.nextInt(8), random.nextBoolean());
            }
            try {
                runRandomStep(random, directory, model);
            } catch (IOException e) {
                reopen(random, directory, model);
            }
        }
    }

    private static void runRandomStep(Random random, FaultyDirectory directory, StoreModel model)
            throws Exception {
        int action = random.nextInt(20);
        if (action == 0) {
            directory.crash();
            model.open(0);
        } else if (action == 1) {
            model.open(random.nextInt(40));
        } else if (action < 5) {
            model.store().compact();
        } else {
            model.change(random.nextInt(12));
        }
    }

    /** Opens the store after a failure, repeatedly if opening fails as well. */
    private static void reopen(Random random, FaultyDirectory directory, StoreModel model)
            throws Exception {
        boolean isOpen = false;
        while (!isOpen) {
            if (random.nextBoolean()) {
                directory.crash();
            } else {
                directory.restartProcess();
            }
            if (random.nextInt(3) == 0) {
                directory.failAt(1 + random.nextInt(8), random.nextBoolean());
            }
            isOpen = tryOpen(model);
        }
    }

    private static boolean tryOpen(StoreModel model) throws DamagedLogException {
        try {
            model.open(0);
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
