package loadbalancer.faults.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import loadbalancer.control.model.Change;
import loadbalancer.control.model.Scope;
import loadbalancer.faults.control.oracle.DistributionOracle;
import loadbalancer.faults.control.oracle.Holding;
import loadbalancer.faults.control.oracle.Violation;
import loadbalancer.faults.control.oracle.Violation.Rule;

/**
 * One run: lays out the processes, submits changes, injects faults and has the oracle judge the
 * end.
 */
public final class ControlSimulation {
    private static final long MILLISECOND = 1_000_000;
    private static final int FOLLOWERS = 3;
    private static final long START_MILLIS = 6_000;

    /** All are current within this time after the last fault and the last change. */
    private static final long CURRENT_WITHIN_MILLIS = 8_000;

    private static final long MOST_EVENTS = 20_000_000;

    private final SimulationSettings settings;
    private final RandomGenerator random;
    private final EventQueue queue = new EventQueue();
    private final SimulationCounters counters = new SimulationCounters();
    private final SimulationContext context;
    private final ChangeGenerator changes;
    private final WriterMachine writer;
    private final List<FollowerMachine> followers = new ArrayList<>();
    private final List<BalancerProcess> balancers = new ArrayList<>();

    /**
     * What a run came to.
     *
     * @param seed that it was drawn from
     * @param violations broken promises; none if all is well
     * @param trace all that happened
     * @param counters what happened in numbers, in one line
     */
    public record Outcome(long seed, List<Violation> violations, String trace, String counters) {}

    /** Lays out nothing yet. */
    ControlSimulation(SimulationSettings settings, SplittableRandom random) {
        this.settings = settings;
        this.random = random.split();
        DistributionOracle oracle = new DistributionOracle(queue::now);
        StreamNetwork network = new StreamNetwork(queue, random.split());
        this.context =
                new SimulationContext(
                        settings, queue, network, oracle, new Trace(queue::now), random);
        this.changes =
                new ChangeGenerator(
                        random.split(), settings.services(), settings.tenantsOfAService());
        this.writer = new WriterMachine(context, counters, changes);
    }

    /** Runs a small simulation that is drawn from the seed. */
    public static Outcome run(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        return new ControlSimulation(SimulationSettings.drawn(seed, random.split()), random).run();
    }

    /** Runs a simulation of so many subscribers that is drawn from the seed. */
    public static Outcome run(long seed, int subscribers) {
        SplittableRandom random = new SplittableRandom(seed);
        SimulationSettings settings = SimulationSettings.drawn(seed, subscribers, random.split());
        return new ControlSimulation(settings, random).run();
    }

    private Outcome run() {
        context.trace().add("simulation", settings.toString());
        try {
            startAll();
            long active = START_MILLIS * MILLISECOND;
            long end = active + settings.activeMillis() * MILLISECOND;
            FaultInjector faults = new FaultInjector(context, writer, followers, balancers);
            scheduleFaults(faults, active, end);
            scheduleChanges(active, end);
            runUntil(Math.max(end, faults.lastEnd()));
            repair();
            runUntil(queue.now() + CURRENT_WITHIN_MILLIS * MILLISECOND);
            checkEnd();
        } catch (RuntimeException | AssertionError e) {
            StackTraceElement[] stack = e.getStackTrace();
            context.oracle()
                    .report(Rule.EXCEPTION, e + " at " + (stack.length > 0 ? stack[0] : "?"));
        }
        return new Outcome(
                settings.seed(),
                context.oracle().violations(),
                context.trace().text(),
                counters.toString());
    }

    /** Starts all processes, and submits the base state. */
    void startAll() {
        writer.start();
        for (int follower = 0; follower < FOLLOWERS; follower++) {
            followers.add(new FollowerMachine(context, counters, "follower-" + follower, writer));
        }
        for (int balancer = 0; balancer < settings.subscribers(); balancer++) {
            String zone = "zone-" + balancer % settings.zones();
            balancers.add(
                    new BalancerProcess(
                            context,
                            counters,
                            "balancer-" + balancer,
                            zone,
                            drawScope(),
                            random.nextInt(4) == 0,
                            followers));
        }
        followers.forEach(follower -> follower.start(false));
        changes.baseState().forEach(change -> writer.submit(change, true));
        balancers.forEach(balancer -> balancer.start(false));
    }

    private Scope drawScope() {
        if (random.nextInt(3) == 0) {
            return Scope.ALL;
        }
        List<String> names = changes.serviceNames();
        Set<String> services = new TreeSet<>();
        int count = 1 + random.nextInt(names.size());
        for (int service = 0; service < count; service++) {
            services.add(names.get(random.nextInt(names.size())));
        }
        return new Scope(services);
    }

    private void scheduleFaults(FaultInjector faults, long from, long to) {
        for (int fault = 0; fault < settings.faults(); fault++) {
            faults.schedule(random.nextLong(from, to));
        }
    }

    private void scheduleChanges(long from, long to) {
        for (int change = 0; change < settings.changes(); change++) {
            queue.at(random.nextLong(from, to), this::submitDrawn);
        }
    }

    private void submitDrawn() {
        if (!writer.takesChanges()) {
            return;
        }
        if (random.nextInt(15) == 0) {
            writer.submit(changes.refusedBySubscribers(), true);
            return;
        }
        ChangeGenerator.Drawn drawn = changes.draw();
        writer.submit(drawn.change(), drawn.valid());
    }

    /** After the last fault the operators take back what some subscribers refuse. */
    private void repair() {
        Change repair = changes.withoutRefused();
        if (repair != null) {
            writer.submit(repair, true);
        }
    }

    /** Lets virtual time pass. */
    void runForMillis(long millis) {
        runUntil(queue.now() + millis * MILLISECOND);
    }

    private void runUntil(long end) {
        while (queue.runNextUntil(end)) {
            if (queue.scheduled() > MOST_EVENTS) {
                throw new IllegalStateException("the simulation does not come to rest");
            }
        }
    }

    WriterMachine writer() {
        return writer;
    }

    SimulationCounters counters() {
        return counters;
    }

    /** Has the oracle judge what all hold now; all broken promises so far. */
    List<Violation> judge() {
        checkEnd();
        return context.oracle().violations();
    }

    private void checkEnd() {
        context.trace().add("simulation", "end at " + context.oracle().latest());
        List<Holding> holdings = new ArrayList<>();
        for (FollowerMachine follower : followers) {
            holdings.add(ModelTexts.of(follower.host().name(), Set.of(), follower.state()));
        }
        for (BalancerProcess balancer : balancers) {
            Set<String> services = balancer.scope().services();
            holdings.add(ModelTexts.of(balancer.host().name(), services, balancer.state()));
        }
        context.oracle().checkCurrent(holdings);
        checkStatus();
    }

    private void checkStatus() {
        int subscribers = 0;
        for (FollowerMachine follower : followers) {
            var status = follower.endpoint().publisher().status();
            subscribers += status.subscribers();
            if (status.behind() != 0) {
                context.oracle()
                        .report(Rule.WRONG_STATUS, follower.host().name() + " says " + status);
            }
        }
        if (subscribers != balancers.size()) {
            context.oracle()
                    .report(
                            Rule.WRONG_STATUS,
                            "the followers say that "
                                    + subscribers
                                    + " of "
                                    + balancers.size()
                                    + " are connected");
        }
    }
}
