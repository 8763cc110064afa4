package loadbalancer.node.supervisor;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The rollout state that a supervisor saves in its state folder, one value per line. Immutable.
 *
 * @param planKey key of the plan whose change is running, empty if there is none
 * @param running the desired variant
 * @param previous the variant that ran before that change
 * @param lastCompletedNumber number of the last completed plan, 0 if there is none
 */
record SupervisorState(
        String planKey, Variant running, Variant previous, long lastCompletedNumber) {
    /**
     * Returns the saved state, or one that runs the initial variant if no state was saved.
     *
     * @throws InvalidStateException if the saved state is invalid
     * @throws IOException if the state can't be read
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

    /** Saves this state in place of the previous one. */
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

    /** Returns the state in which a plan's change replaces the running variant. */
    SupervisorState withChange(String newPlanKey, Variant next) {
        return new SupervisorState(newPlanKey, next, running, lastCompletedNumber);
    }

    /** Returns the state in which the given variant runs and no plan's change does. */
    SupervisorState withoutChange(Variant variant) {
        return new SupervisorState("", variant, variant, lastCompletedNumber);
    }

    SupervisorState withLastCompletedNumber(long number) {
        return new SupervisorState(planKey, running, previous, number);
    }
}
