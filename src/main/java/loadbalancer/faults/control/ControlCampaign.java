package loadbalancer.faults.control;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Consumer;

/** Runs many seeds, some at a time, and hands their outcomes on in the order of the seeds. */
public final class ControlCampaign {
    private final int jobs;
    private final Integer subscribers;

    /**
     * Makes a campaign.
     *
     * @param jobs simulations at a time
     * @param subscribers in each simulation; null to have the number drawn
     */
    public ControlCampaign(int jobs, Integer subscribers) {
        this.jobs = jobs;
        this.subscribers = subscribers;
    }

    /** Runs so many seeds from one on; returns how many failed. */
    public long run(long from, long seeds, Consumer<ControlSimulation.Outcome> told)
            throws InterruptedException {
        ExecutorService pool = Executors.newFixedThreadPool(jobs);
        try {
            List<Future<ControlSimulation.Outcome>> outcomes = new ArrayList<>();
            for (long seed = from; seed < from + seeds; seed++) {
                long one = seed;
                outcomes.add(pool.submit(() -> run(one)));
            }
            long failed = 0;
            for (Future<ControlSimulation.Outcome> future : outcomes) {
                ControlSimulation.Outcome outcome = future.get();
                failed += outcome.violations().isEmpty() ? 0 : 1;
                told.accept(outcome);
            }
            return failed;
        } catch (ExecutionException e) {
            throw new IllegalStateException("a simulation could not be run", e.getCause());
        } finally {
            pool.shutdownNow();
        }
    }

    private ControlSimulation.Outcome run(long seed) {
        return subscribers == null
                ? ControlSimulation.run(seed)
                : ControlSimulation.run(seed, subscribers);
    }
}
