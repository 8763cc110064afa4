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

/** Failures at every single step, and drawn histories of them, against {@link StoreModel}. */
class StoreCrashTest {
    private static final int SEEDS_PER_STEP = 8;
    private static final int STEPS_OF_AN_OPENING = 12;
    private static final int HISTORIES = 300;
    private static final int STEPS_OF_A_HISTORY = 60;

    /** Opening, changes, a compaction with older segments and snapshots, and more changes. */
    private static void play(StoreModel model) throws IOException, DamagedLogException {
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

    private static int stepsOfPlay() throws IOException, DamagedLogException {
        FaultyDirectory directory = new FaultyDirectory(0);
        play(new StoreModel(directory));
        return directory.steps();
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aFailureAtAnyStepLosesNothing(boolean stops) throws Exception {
        int steps = stepsOfPlay();
        assertTrue(steps > 30, steps + " steps");
        for (int step = 1; step <= steps; step++) {
            for (int seed = 0; seed < SEEDS_PER_STEP; seed++) {
                FaultyDirectory directory = new FaultyDirectory(seed);
                StoreModel model = new StoreModel(directory);
                directory.failAt(step, stops);
                assertThrows(IOException.class, () -> play(model), "step " + step);
                directory.crash();
                model.open(0);
                model.change(7);
            }
        }
    }

    /**
     * The process alone starts anew, reads what the failed force left, and only then the machine
     * crashes.
     */
    @Test
    void aFailedForceIsNotTrustedAfterARestartOfTheProcess() throws Exception {
        int steps = stepsOfPlay();
        for (int step = 1; step <= steps; step++) {
            for (int seed = 0; seed < SEEDS_PER_STEP; seed++) {
                FaultyDirectory directory = new FaultyDirectory(seed);
                StoreModel model = new StoreModel(directory);
                directory.failAt(step, false);
                assertThrows(IOException.class, () -> play(model), "step " + step);
                directory.restartProcess();
                model.open(0);
                directory.crash();
                model.open(0);
                model.change(7);
            }
        }
    }

    /** As above, and the opening after the restart is cut short by the crash of the machine. */
    @Test
    void anOpeningThatIsCutShortTrustsNoFailedForceEither() throws Exception {
        int steps = stepsOfPlay();
        for (int step = 1; step <= steps; step++) {
            for (int stepOfOpening = 1; stepOfOpening <= STEPS_OF_AN_OPENING; stepOfOpening++) {
                for (int seed = 0; seed < SEEDS_PER_STEP; seed++) {
                    FaultyDirectory directory = new FaultyDirectory(seed);
                    StoreModel model = new StoreModel(directory);
                    directory.failAt(step, false);
                    assertThrows(IOException.class, () -> play(model), "step " + step);
                    directory.restartProcess();
                    directory.failAt(stepOfOpening, true);
                    opens(model);
                    directory.crash();
                    model.open(0);
                }
            }
        }
    }

    @Test
    void noChangeIsTakenAfterAnIoError() throws Exception {
        FaultyDirectory directory = new FaultyDirectory(1);
        StoreModel model = new StoreModel(directory);
        model.open(0);
        model.change(1);
        directory.failAt(1, false);
        assertThrows(IOException.class, () -> model.change(2));
        assertFalse(model.store().isAvailable());
        model.compare();
        assertEquals(
                "no changes are taken: writing the log failed: injected failure",
                assertThrows(StoreUnavailableException.class, model::appendAgain).getMessage());
    }

    @Test
    void drawnHistoriesAgreeWithTheModel() throws Exception {
        for (int seed = 0; seed < HISTORIES; seed++) {
            playDrawn(new Random(seed), new FaultyDirectory(seed));
        }
    }

    private static void playDrawn(Random random, FaultyDirectory directory) throws Exception {
        StoreModel model = new StoreModel(directory);
        model.open(0);
        for (int step = 0; step < STEPS_OF_A_HISTORY; step++) {
            if (random.nextInt(6) == 0) {
                directory.failAt(1 + random.nextInt(8), random.nextBoolean());
            }
            try {
                drawnStep(random, directory, model);
            } catch (IOException e) {
                reopen(random, directory, model);
            }
        }
    }

    private static void drawnStep(Random random, FaultyDirectory directory, StoreModel model)
            throws Exception {
        int drawn = random.nextInt(20);
        if (drawn == 0) {
            directory.crash();
            model.open(0);
        } else if (drawn == 1) {
            model.open(random.nextInt(40));
        } else if (drawn < 5) {
            model.store().compact();
        } else {
            model.change(random.nextInt(12));
        }
    }

    /** Opens again after a failure, which may fail in its turn. */
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
            isOpen = opens(model);
        }
    }

    private static boolean opens(StoreModel model) throws DamagedLogException {
        try {
            model.open(0);
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
