package loadbalancer.capacity;

import loadbalancer.AttemptResult;

/**
 * What becomes of the first requests of a balancer that has learnt nothing yet, at the target's
 * mean rate of 100 a second: the share that is refused or fails, second by second of virtual time.
 */
final class FirstSecondsMeasurement implements Measurement {
    private static final int[] GROUPS = {3, 12, 50, 150, 430, 860};
    private static final int[] UPSTREAMS = {12, 15, 100, 1_000, 9_100};
    private static final int GROUP = 860;
    private static final int FEW_UPSTREAMS = 12;
    private static final int SECONDS = 10;
    private static final int A_SECOND = 100;
    private static final long SERVICE = 20 * ModuleSetup.MILLI;

    @Override
    public String description() {
        return "share of requests refused in the first 10 s of a balancer, by group and by"
                + " upstreams";
    }

    @Override
    public void run(Recorder recorder) {
        for (int group : GROUPS) {
            double share =
                    play(new ModuleSetup(group, FEW_UPSTREAMS, 0, false), recorder.repetition());
            recorder.add("first_seconds.unserved", "group", group, share, "of requests");
        }
        for (int upstreams : UPSTREAMS) {
            double share = play(new ModuleSetup(GROUP, upstreams, 0, false), recorder.repetition());
            recorder.add("first_seconds.unserved", "upstreams", upstreams, share, "of requests");
        }
    }

    private static double play(ModuleSetup setup, long seed) {
        ModuleDriver driver = new ModuleDriver(setup, seed);
        for (int i = 0; i < SECONDS * A_SECOND; i++) {
            driver.arrive(driver.nextRequest());
            driver.advance(ModuleSetup.SECOND / A_SECOND);
            for (AttemptResult end = driver.nextEnd(SERVICE);
                    end != null;
                    end = driver.nextEnd(SERVICE)) {
                driver.end(end);
            }
        }
        return driver.unserved() / (double) driver.requests();
    }
}
