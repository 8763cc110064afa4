package loadbalancer.faults.control.scale;

import java.nio.file.Path;

/**
 * What a scale run is like.
 *
 * @param program how processes are started
 * @param folder for files and logs of the run
 * @param subscribers in all
 * @param size of the base state
 * @param scopeServices services that each subscriber wants; 0 for all
 * @param changes that are made
 * @param changesPerSecond rate of these changes
 * @param seed of what is drawn
 * @param repetition number of the run, for the rows
 * @param faults the faults that are injected behind the changes
 * @param faultTimeFactor of the times that faults last; 1 for the full ones
 * @param limits of processes and time
 */
public record ScaleOptions(
        ScaleProgram program,
        Path folder,
        int subscribers,
        StateSize size,
        int scopeServices,
        int changes,
        double changesPerSecond,
        long seed,
        int repetition,
        FaultScript.Extent faults,
        double faultTimeFactor,
        Limits limits) {
    /**
     * What a run may use.
     *
     * @param controlHeapMegabytes of each control machine
     * @param hollowHeapMegabytes of each hollow process
     * @param perProcess subscribers of a hollow process, at most
     * @param deadlineSeconds the run is given up after this time
     */
    public record Limits(
            int controlHeapMegabytes,
            int hollowHeapMegabytes,
            int perProcess,
            long deadlineSeconds) {}
}
