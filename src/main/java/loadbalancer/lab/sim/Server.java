package loadbalancer.lab.sim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import loadbalancer.AttemptOutcome;
import loadbalancer.EndpointDescriptor;
import loadbalancer.EndpointState;
import loadbalancer.LoadReport;
import loadbalancer.lab.scenario.Drawn;
import loadbalancer.lab.scenario.Section;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * A server: slots, a waiting room, and cores that share themselves evenly among the running jobs
 * (egalitarian processor sharing; with one slot for each core that is first come, first served).
 * Jobs progress on a clock of work: it advances by what each running job gets, so that one number
 * for each job says when it is done.
 */
final class Server {
    /** How often capacity is worked out anew while it changes by itself. */
    private static final long STEP = 100_000;

    /** Work that counts as none left, against rounding. */
    private static final double NOTHING = 1e-6;

    /** Where the ends of attempts go. */
    interface Replies {
        /** The server has answered, turned away or broken off an attempt. */
        void reply(Attempt attempt, AttemptOutcome outcome, LoadReport load);
    }

    final int index;
    final Machine machine;
    final Gauge gauge = new Gauge();
    private final EventQueue agenda;
    private final Replies replies;
    private Runnable onFall = () -> {};
    private final UniformRandomProvider random;
    private final Meter meter;
    private final ColdStart cold;
    private final Congestion choke;
    private final KeyMemory memory;
    private final double fullTax;
    private final int connectionCap;
    private final boolean stopsQueued;
    private final boolean stopsRunning;

    private final PriorityQueue<Job> running = new PriorityQueue<>();
    private final Deque<Job> waiting = new ArrayDeque<>();
    private final Set<Job> aside = new HashSet<>();
    private final Set<Job> inIo = new HashSet<>();
    private int inSlots;
    private double clock;
    private long touched;
    private long nextDue = Long.MAX_VALUE;
    private int life = 1;
    private boolean alive = true;
    private boolean silent;
    private boolean paused;
    private int connections;
    private long jobs;

    private double neighbour;
    private String id;
    private long launchedAt;
    private final double rating;
    private double coldTold;
    private double coldUntold;
    private boolean watched = true;
    private double rate;

    // Grey failures: all reports stay as good as they were.
    private double quickErrors;
    private double slowFactor = 1;
    private double hangs;

    Server(
            int index,
            Machine machine,
            Drawn world,
            Streams streams,
            EventQueue agenda,
            Replies replies) {
        this.index = index;
        this.machine = machine;
        this.agenda = agenda;
        this.replies = replies;
        Section s = world.section("servers");
        random = streams.of("server/" + index);
        meter =
                new Meter(
                        s.micros("report_period_ms"),
                        s.micros("report_delay_ms"),
                        s.number("report_noise"),
                        streams.of("meter/" + index),
                        agenda.now());
        cold = new ColdStart(machine, s, world.section("rules").micros("cold_s"));
        choke = new Congestion(world.section("choke"), machine.cores());
        memory = new KeyMemory(world.section("affinity"), machine.cores());
        fullTax = world.section("network").number("full_tax");
        connectionCap = world.section("network").whole("cap_per_core") * machine.cores();
        stopsQueued = !s.text("cancel").equals("none");
        stopsRunning = s.text("cancel").equals("all");
        touched = agenda.now();
        id = "s" + index;
        rating =
                switch (s.text("ratings")) {
                    case "none" -> 1;
                    case "nominal" -> machine.nominal() * machine.cores();
                    default -> machine.power() * Draws.factor(streams.of("rating/" + index), 0.2);
                };
        if (s.flag("cold_start")) {
            launchedAt = agenda.now();
            cold.start(agenda.now());
        }
        agenda.in(0, this::watch);
        if (machine.pauseEvery() > 0 && machine.pause() > 0) {
            pauseLater();
        }
    }

    /** The id of its present process; a replaced one has another. */
    String id() {
        return id;
    }

    /** When its process started; 0 for long ago. */
    long launchedAt() {
        return launchedAt;
    }

    EndpointDescriptor entry(EndpointState state) {
        return new EndpointDescriptor(
                id, machine.zone(), machine.kindIndex(), machine.cell(), state, rating, launchedAt);
    }

    void onFall(Runnable what) {
        onFall = what;
    }

    /** Notes work sent while cold, by a balancer that was told of the start or not. */
    void coldFrom(boolean told, double work) {
        coldTold += told ? work : 0;
        coldUntold += told ? 0 : work;
    }

    // ---- Life
    // ----------------------------------------------------------------------------------------

    boolean alive() {
        return alive;
    }

    /** Counts the starts; what belongs to an earlier life is gone. */
    int life() {
        return life;
    }

    /** Vanished without a word: nothing sent there comes back, not even a refusal. */
    boolean silent() {
        return silent;
    }

    /** Ends the process. What it held breaks, or is never heard of again. */
    void die(boolean silently) {
        if (!alive) {
            return;
        }
        settle();
        alive = false;
        silent = silently;
        life++;
        List<Job> lost = new ArrayList<>(running);
        lost.addAll(waiting);
        lost.addAll(aside);
        lost.addAll(inIo);
        lost.sort((a, b) -> Long.compare(a.number, b.number));
        for (Job job : lost) {
            gauge.left(job, agenda.now(), job.finish - clock);
            if (!silently) {
                replies.reply(job.attempt, AttemptOutcome.CONNECTION_RESET, null);
            }
        }
        running.clear();
        waiting.clear();
        aside.clear();
        inIo.clear();
        inSlots = 0;
        connections = 0;
        nextDue = Long.MAX_VALUE;
    }

    /** A new process at the same address, cold, under the old id or a new one. */
    void startAgain(String as) {
        alive = true;
        id = as;
        launchedAt = agenda.now();
        coldTold = 0;
        coldUntold = 0;
        silent = false;
        life++;
        touched = agenda.now();
        memory.clear();
        choke.clear();
        cold.start(agenda.now());
        watched = true;
        watch();
    }

    /** Looks after what changes by itself: warming, and recovery from being choked. */
    private void watch() {
        if (!alive) {
            return;
        }
        if (cold.changing() || choke.active()) {
            settle();
            choke.idled(agenda.now(), gauge.takeBusy() / (double) STEP / machine.cores(), STEP);
            schedule();
            watchLater();
        } else {
            watched = false;
        }
    }

    private void watchLater() {
        int mine = life;
        agenda.in(
                STEP,
                () -> {
                    if (life == mine) {
                        watch();
                    }
                });
    }

    private void watchFromNow() {
        if (!watched) {
            watched = true;
            gauge.takeBusy();
            watchLater();
        }
    }

    private void pauseLater() {
        agenda.in(
                (long) Draws.exponential(random, machine.pauseEvery()),
                () -> {
                    change(() -> paused = true);
                    agenda.in(
                            machine.pause(),
                            () -> {
                                change(() -> paused = false);
                                pauseLater();
                            });
                });
    }

    // ---- Connections
    // ---------------------------------------------------------------------------------

    boolean full() {
        return connections >= connectionCap;
    }

    void connected(int by) {
        change(() -> connections = Math.max(0, connections + by));
    }

    // ---- Troubles
    // ------------------------------------------------------------------------------------

    /** Another program takes this share of the machine. */
    void neighbour(double share) {
        change(() -> neighbour = share);
    }

    void quickErrors(double share) {
        quickErrors = share;
    }

    void slowFactor(double factor) {
        slowFactor = factor;
    }

    /** That share of the requests gets no answer while this lasts. */
    void hangs(double share) {
        hangs = share;
        if (share == 0) {
            List<Job> late = new ArrayList<>(aside);
            late.sort((a, b) -> Long.compare(a.number, b.number));
            aside.clear();
            late.forEach(this::run);
        }
    }

    // ---- Work
    // ----------------------------------------------------------------------------------------

    /** An attempt has arrived, with the work it is by itself and what came on top (a handshake). */
    void offer(Attempt attempt, double work, double extra) {
        if (!alive) {
            if (!silent) {
                replies.reply(attempt, AttemptOutcome.CONNECTION_RESET, null);
            }
            return;
        }
        long now = agenda.now();
        if (cold.sent(now, work + extra)) {
            gauge.fellOver++;
            // Rule 4 is broken where two thirds of the work came from those who knew.
            gauge.pushedOver += coldTold >= 2 * coldUntold ? 1 : 0;
            die(false);
            onFall.run();
            replies.reply(attempt, AttemptOutcome.CONNECTION_RESET, null);
            return;
        }
        boolean greyError = quickErrors > 0 && random.nextDouble() < quickErrors;
        boolean greyHang = hangs > 0 && random.nextDouble() < hangs;
        if (greyError) {
            replies.reply(attempt, AttemptOutcome.ERROR, meter.report(now));
            return;
        }
        double need = memory.cost(attempt.of.call.key, now, work) + extra;
        Job job = new Job(attempt, jobs++, now, need);
        attempt.job = job;
        if (greyHang) {
            gauge.entered(job, now);
            aside.add(job);
        } else if (inSlots < machine.slots()) {
            gauge.entered(job, now);
            run(job);
        } else if (waiting.size() < machine.room()) {
            gauge.entered(job, now);
            waiting.add(job);
            crowdChanged();
        } else {
            gauge.turnedAway++;
            replies.reply(attempt, AttemptOutcome.REJECTED, meter.report(now));
        }
    }

    private void run(Job job) {
        inSlots++;
        long io =
                (long)
                        (job.attempt.of.call.trafficClass.io * slowFactor
                                + (slowFactor - 1) * job.work / machine.speed());
        if (io <= 0) {
            compute(job);
            return;
        }
        int mine = life;
        inIo.add(job);
        agenda.in(
                io,
                () -> {
                    if (life == mine) {
                        inIo.remove(job);
                        compute(job);
                    }
                });
    }

    private void compute(Job job) {
        if (job.stopped) {
            free();
            return;
        }
        settle();
        job.running = true;
        job.finish = clock + job.work;
        running.add(job);
        crowdChanged();
        schedule();
    }

    /** The balancer waits no more for this job; some servers then stop it. */
    void giveUp(Job job) {
        if (job.stopped || !stopsQueued) {
            return;
        }
        if (waiting.remove(job) || aside.remove(job) || stopsRunning && inIo.remove(job)) {
            stop(job, job.work);
        } else if (stopsRunning && job.running) {
            settle();
            double left = job.finish - clock;
            if (running.remove(job)) {
                stop(job, left);
                free();
                schedule();
            }
        }
    }

    private void stop(Job job, double left) {
        job.stopped = true;
        gauge.left(job, agenda.now(), left);
    }

    private void free() {
        inSlots--;
        Job next = waiting.poll();
        if (next != null) {
            run(next);
        }
        crowdChanged();
    }

    private void crowdChanged() {
        long over = choke.crowd(agenda.now(), running.size() + waiting.size() - machine.cores());
        if (machine.chokes() && over > 0) {
            agenda.in(
                    over,
                    () -> {
                        if (choke.strikes(agenda.now())) {
                            gauge.choked++;
                            change(() -> {});
                            watchFromNow();
                        }
                    });
        }
    }

    // ---- The cores
    // -----------------------------------------------------------------------------------

    /** Speed of one core now, from what the machine is and what happens to it. */
    private double coreSpeed() {
        if (paused || !alive) {
            return 0;
        }
        double tax = 1 - fullTax * Math.min(1, connections / (double) connectionCap);
        return machine.speed()
                * (1 - neighbour)
                * tax
                * cold.share(agenda.now(), gauge.done)
                / choke.factor();
    }

    /** Brings the clock of work up to now, at the rate that held since the last change. */
    private void settle() {
        long now = agenda.now();
        long span = now - touched;
        if (span > 0) {
            int n = running.size();
            double busyCores = Math.min(n, machine.cores());
            double own = busyCores / machine.cores();
            meter.busy(touched, now, Math.min(1, paused ? 1 : neighbour + own * (1 - neighbour)));
            gauge.advance(span, busyCores, rate * n);
            clock += rate * span;
            touched = now;
        }
    }

    private void change(Runnable what) {
        settle();
        what.run();
        schedule();
    }

    /**
     * Works out the rate anew and when the first job is done. Call it right after {@link #settle}.
     */
    private void schedule() {
        int n = running.size();
        rate = n == 0 ? 0 : coreSpeed() * Math.min(1, machine.cores() / (double) n);
        if (rate <= 0) {
            return;
        }
        long due =
                agenda.now()
                        + Math.max(0, (long) Math.ceil((running.peek().finish - clock) / rate));
        // An event that comes too early looks again; only one that would come too late needs
        // another.
        if (due < nextDue) {
            nextDue = due;
            int mine = life;
            agenda.at(
                    due,
                    () -> {
                        if (life == mine && nextDue == due) {
                            nextDue = Long.MAX_VALUE;
                            finish();
                        }
                    });
        }
    }

    private void finish() {
        settle();
        while (!running.isEmpty() && running.peek().finish <= clock + NOTHING) {
            Job job = running.poll();
            job.running = false;
            gauge.done -= Math.max(0, clock - job.finish); // events come at whole microseconds
            memory.met(job.attempt.of.call.key, agenda.now());
            meter.served();
            gauge.left(job, agenda.now(), 0);
            job.stopped = true;
            boolean error = machine.errorRate() > 0 && random.nextDouble() < machine.errorRate();
            replies.reply(
                    job.attempt,
                    error ? AttemptOutcome.ERROR : AttemptOutcome.SUCCESS,
                    meter.report(agenda.now()));
            free();
        }
        schedule();
    }

    /**
     * Expected time to serve that much work if it came now; infinite where it would not be served.
     */
    double timeToServe(double work, long io) {
        if (!alive
                || hangs > 0.5
                || quickErrors > 0.5
                || inSlots >= machine.slots() && waiting.size() >= machine.room()) {
            return Double.POSITIVE_INFINITY;
        }
        double speed = paused ? machine.speed() / 10 : coreSpeed();
        double ahead = 0;
        for (Job job : running) {
            ahead += Math.min(work, Math.max(0, job.finish - clock));
        }
        for (Job job : waiting) {
            ahead += job.work;
        }
        ahead += inIo.size() * work / 2; // some of these will share the cores with it
        double backlog = ahead / (speed * machine.cores());
        return io * slowFactor + work / speed + backlog + (slowFactor - 1) * work / speed;
    }

    boolean isCold() {
        return cold.changing();
    }

    double busySoFar() {
        settle();
        schedule();
        return gauge.busyTotal;
    }
}
