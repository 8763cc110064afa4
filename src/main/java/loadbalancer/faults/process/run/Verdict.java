package loadbalancer.faults.process.run;

import java.nio.file.Path;
import java.util.List;

/**
 * What came of a run.
 *
 * @param isLate whether the rig itself was late by more than a tenth of a second: then rules that
 *     depend on that were not judged, and a soak counts the run as void
 * @param faults a line for each
 * @param requests that clients had; one that is sent once more counts once
 * @param served of them
 * @param kept the folder with plan and logs; null where all went well
 */
public record Verdict(
        Outcome outcome, boolean isLate, List<String> faults, int requests, int served, Path kept) {
    /** Of a whole run. */
    public enum Outcome {
        /** All rules were kept. */
        KEPT,
        /** The program broke a rule. */
        BROKEN,
        /** The rig failed; of the program nothing is known. */
        RIG_FAILED
    }
}
