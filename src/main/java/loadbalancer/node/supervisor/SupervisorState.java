package loadbalancer.node.supervisor;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * What a supervisor saves of rollouts in its state folder, one value a line. Immutable.
 *
 * @param planKey of the plan whose change runs, empty for none
 * @param running what is desired
 * @param previous what ran before that change
 * @param lastCompletedNumber number of the last complete plan, 0 for none
 */
record SupervisorState(
        String planKey, Variant running, Variant previous, long lastCompletedNumber) {
    /**
     * Reads the saved state, or the initial one if there is none.
     *
     * @throws InvalidStateException if it is not understood
     * @throws IOException if it can't be read
     */
    static SupervisorState read(Path folder, Variant initial) throws IOException {
        Path file = folder.resolve(StateFolder.STATE_FILE);
        if (!Files.exists(file)) {
            return new SupervisorState("", initial, initial, 0);
        }
        String[] lines = Files.readString(file).split("\n", -1);
        try {
            return new SupervisorState(
                    lines[0],
                    new Variant(lines[1], lines[2]),
                    new Variant(lines[3], lines[4]),
                    Long.parseLong(lines[5]));
        } catch (ArrayIndexOutOfBoundsException | NumberFormatException e) {
            throw new InvalidStateException(file, initial, e);
        }
    }

    /** Saves it in place of the last one. */
    void write(Path folder) throws IOException {
        StateFolder.replace(
                folder,
                StateFolder.STATE_FILE,
                String.join(
                        "\n",
                        planKey,
                        running.program(),
                        running.operatorFile(),
                        previous.program(),
                        previous.operatorFile(),
                        Long.toString(lastCompletedNumber),
                        ""));
    }

    /** The change of a plan runs in place of what ran so far. */
    SupervisorState withChange(String newPlanKey, Variant next) {
        return new SupervisorState(newPlanKey, next, running, lastCompletedNumber);
    }

    /** No plan's change runs, but that variant. */
    SupervisorState withoutChange(Variant variant) {
        return new SupervisorState("", variant, variant, lastCompletedNumber);
    }

    SupervisorState withLastCompletedNumber(long number) {
        return new SupervisorState(planKey, running, previous, number);
    }
}
