package loadbalancer.rollout.stage;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import loadbalancer.fleet.replication.Item.Document;
import loadbalancer.rollout.analysis.CanaryAnalysis;
import loadbalancer.rollout.analysis.Counts;
import loadbalancer.rollout.plan.InvalidPlanException;
import loadbalancer.rollout.plan.Plan;
import loadbalancer.rollout.plan.PlanFile;
import loadbalancer.rollout.stage.Statement.Phase;

/**
 * A fleet with its machines, played second by second; the promises are checked after each from
 * outside.
 */
final class History {
    static final String DIGEST = "ab".repeat(32);
    private static final long SECOND = 1_000_000;
    private static final long WINDOW_S = CanaryAnalysis.WINDOW_US / SECOND;

    final Random random;
    final FakeFleet net;
    final Map<String, Machine> machines = new TreeMap<>();
    final Map<String, Plan> plans = new TreeMap<>();
    double newServes = 0.97;
    double newAttempts = 1.1;
    long second;
    private long partedAt = Long.MIN_VALUE / 2;

    History(long seed, int members) {
        random = new Random(seed);
        List<String> names = new ArrayList<>();
        for (int i = 0; i < members; i++) {
            names.add("b" + i);
        }
        net = new FakeFleet(names, random);
        names.forEach(n -> machines.put(n, new Machine(n)));
    }

    static String plan(String id, int number) {
        return "id = \""
                + id
                + "\"\nnumber = "
                + number
                + "\nprogram = \"p\"\ndigest = \"sha256:"
                + DIGEST
                + "\"\n"
                + "stages = [0.2, 0.5, 1.0]\n"
                + "floor = 0.6\n"
                + "at_once = 2\n"
                + "[exposure]\n"
                + "before = 120\n"
                + "requests = 1000\n"
                + "seconds = 30\n"
                + "longest = 400\n"
                + "[margins]\n"
                + "served = 0.02\n"
                + "late = 0.02\n"
                + "refused = 0.02\n"
                + "failed = 0.02\n"
                + "attempts = 0.2\n"
                + "time = 0.2\n";
    }

    Plan give(String name, String id, int number) throws InvalidPlanException {
        Map<String, String> zones = new TreeMap<>();
        machines.keySet().forEach(n -> zones.put(n, "z" + (n.charAt(1) & 1)));
        machines.get(name).rollout.give(second * SECOND, plan(id, number), zones);
        Plan plan = PlanFile.read(PlanFile.withZones(plan(id, number), zones));
        plans.put(plan.key(), plan);
        return plan;
    }

    void part(int on) {
        partedAt = second;
        int i = 0;
        for (String name : machines.keySet()) {
            net.sides.put(name, i++ < on ? 1 : 0);
        }
    }

    void heal() {
        net.sides.clear();
        net.loss = 0;
        machines.values()
                .forEach(
                        m -> {
                            if (m.stopped) {
                                m.stop(false);
                            } else if (!m.up()) {
                                m.restart(false);
                            }
                        });
    }

    void run(int seconds) {
        for (int i = 0; i < seconds; i++) {
            second++;
            net.step(second * SECOND);
            machines.values().forEach(Machine::step);
            if (second % WINDOW_S == 0) {
                machines.values().forEach(Machine::count);
            }
            check();
        }
    }

    private void check() {
        for (Plan plan : plans.values()) {
            long on =
                    machines.values().stream()
                            .filter(m -> plan.key().equals(m.runs) || plan.key().equals(m.becoming))
                            .count();
            int opened = 0;
            while (opened < plan.last() && passed(plan, opened + 1) >= majority()) {
                opened++;
            }
            int share =
                    opened == 0
                            ? 0
                            : (int)
                                    Math.floor(
                                            plan.stages().get(opened - 1) * machines.size() + 1e-9);
            assertTrue(on <= share, on + " on the new program, of " + share + at());
            long between =
                    machines.values().stream()
                            .filter(m -> !m.back && plan.key().equals(m.becoming))
                            .count();
            assertTrue(
                    between <= machines.size() - Math.ceil(plan.floor() * machines.size()),
                    "too many change at one time" + at());
        }
    }

    long passed(Plan plan, int stage) {
        return machines.values().stream()
                .filter(m -> m.passed.getOrDefault(plan.key(), 0) >= stage)
                .count();
    }

    int majority() {
        return machines.size() / 2 + 1;
    }

    String states() {
        StringBuilder out = new StringBuilder();
        machines.values()
                .forEach(
                        m ->
                                out.append('\n')
                                        .append(m.name)
                                        .append(" runs ")
                                        .append(m.runs)
                                        .append(", ")
                                        .append(m.rollout.state())
                                        .append(", ")
                                        .append(m.lines));
        return out.toString();
    }

    String at() {
        return " at second " + second;
    }

    /** One balancer, its parent and what its disk holds. */
    final class Machine {
        final String name;
        final Map<String, Integer> passed = new TreeMap<>();
        final List<String> lines = new ArrayList<>();
        Rollout rollout;
        String runs = "";
        String becoming = "";
        String digest = DIGEST;
        boolean liar;
        boolean stopped;
        boolean silent;
        boolean broken;
        private long changedAt;
        private long servedAt;
        private long program;
        private boolean back;

        Machine(String name) {
            this.name = name;
            rollout = new Rollout(net.links.get(name), random, "", 0, lines::add);
        }

        /** SIGSTOP or SIGCONT. */
        void stop(boolean stops) {
            stopped = stops;
            net.links.get(name).up = !stops;
        }

        void kill() {
            stopped = false;
            net.links.get(name).up = false;
            becoming = "";
            back = false;
        }

        void restart(boolean forgets) {
            net.links.get(name).up = true;
            net.links.get(name).restart(forgets);
            rollout = new Rollout(net.links.get(name), random, runs, 0, lines::add);
        }

        boolean up() {
            return net.links.get(name).up;
        }

        void step() {
            if (!up()) {
                return;
            }
            long now = second * SECOND;
            servedAt = second;
            if (!becoming.isEmpty() && second >= changedAt) {
                changed();
            }
            rollout.serving(true);
            for (Action action : rollout.step(now, second / WINDOW_S)) {
                if (action instanceof Action.Check check) {
                    rollout.checked(check.plan().key(), digest);
                } else if (action instanceof Action.Begin begin) {
                    begins(begin.plan());
                } else if (action instanceof Action.GoBack goBack) {
                    becoming = goBack.key();
                    back = true;
                    changedAt = second + random.nextInt(5);
                }
            }
            if (liar) {
                lie(now);
            }
            remember();
            program |=
                    runs.isEmpty() && becoming.isEmpty()
                            ? Counts.OLD
                            : becoming.isEmpty() ? Counts.NEW : Counts.OLD | Counts.NEW;
        }

        private void changed() {
            if (broken && !back) {
                rollout.failed(second * SECOND, becoming, "crashes at its start");
            } else {
                runs = back ? "" : becoming;
                rollout.became(runs);
            }
            becoming = "";
            back = false;
        }

        private void begins(Plan plan) {
            assertFalse(
                    HaltFlags.up(net.links.get(name), plan.key()),
                    name + " begins though halted" + at());
            assertTrue(DIGEST.equals(digest), name + " begins with another digest" + at());
            int stage = 1;
            int place = loadbalancer.rollout.plan.Order.of(plan).place(name);
            while (loadbalancer.rollout.plan.Order.of(plan).target(stage) <= place) {
                stage++;
            }
            assertTrue(
                    passed(plan, stage) >= majority(),
                    "stage " + stage + " without a majority" + at());
            long near = machines.keySet().stream().filter(n -> net.together(n, name)).count();
            assertTrue(
                    near >= majority() || second - partedAt <= 5,
                    "begins on the smaller side" + at());
            long serve =
                    machines.values().stream()
                            .filter(
                                    m ->
                                            m != this
                                                    && m.becoming.isEmpty()
                                                    && second - m.servedAt <= 15)
                            .count();
            assertTrue(serve >= Math.ceil(plan.floor() * machines.size()), "too few serve" + at());
            becoming = plan.key();
            changedAt = second + 1 + random.nextInt(8);
        }

        private void remember() {
            for (Plan plan : plans.values()) {
                Document said =
                        net.links
                                .get(name)
                                .documents(second * SECOND, Votes.topic(plan.key()))
                                .get(name);
                if (said != null) {
                    passed.merge(plan.key(), Statement.of(said.body()).passed(), Math::max);
                }
            }
        }

        /** Says that all has passed, lets all begin, and counts what nobody can. */
        private void lie(long now) {
            for (Plan plan : plans.values()) {
                Map<String, Long> all = new TreeMap<>();
                machines.values()
                        .forEach(
                                m -> {
                                    Document said =
                                            net.links
                                                    .get(name)
                                                    .documents(now, Votes.topic(plan.key()))
                                                    .get(m.name);
                                    if (said != null) {
                                        all.put(m.name, Statement.of(said.body()).ask());
                                    }
                                });
                byte[] lie = new Statement(99, Phase.NEW, true, Statement.Fits.YES, 0, all).bytes();
                Document own =
                        net.links.get(name).documents(now, Votes.topic(plan.key())).get(name);
                if (own == null || !Arrays.equals(own.body(), lie)) {
                    net.links.get(name).publish(now, Votes.topic(plan.key()), lie);
                }
            }
        }

        void count() {
            Rollout.Counting counting = rollout.counting();
            long served = program;
            program = 0;
            if (counting == null || !up() || silent) {
                return;
            }
            long window = second / WINDOW_S - 1;
            long now = second * SECOND;
            String key = counting.plan().key();
            long n = 250 + random.nextInt(50);
            double good = served == Counts.NEW ? newServes : 0.97;
            long ok =
                    Math.min(n, Math.round(n * good + random.nextGaussian() * Math.sqrt(n * 0.03)));
            long tries =
                    Math.round(
                            n * (served == Counts.NEW ? newAttempts : 1.1)
                                    + 5 * random.nextGaussian());
            long[] values = new long[Counts.CLASS_VALUES];
            values[0] = served;
            values[Counts.SERVED] = liar ? random.nextLong() : ok;
            values[Counts.FAILED] = n - ok;
            values[Counts.ATTEMPTS] = liar ? 1L << 49 : tries;
            for (int i = 0; i < 8; i++) {
                values[Counts.timePlace(i)] = n / 8 + random.nextInt(9);
            }
            var link = net.links.get(name);
            link.publishCounters(now, Counts.topic(key, Plan.OTHERS), window, values);
            link.publishCounters(
                    now,
                    Counts.topic(key),
                    window,
                    Counts.ofProcess(
                            served,
                            n,
                            n * 500 + random.nextInt(9_000),
                            200_000 + random.nextInt(9_000)));
            link.forgetBefore(Counts.topic(key, Plan.OTHERS), window - 12);
            link.forgetBefore(Counts.topic(key), window - 12);
        }
    }
}
