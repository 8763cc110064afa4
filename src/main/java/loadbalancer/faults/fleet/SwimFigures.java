package loadbalancer.faults.fleet;

import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import loadbalancer.fleet.membership.Health;

/**
 * Figures of membership in virtual time, on standard output. Run by hand: {@code java -cp
 * target/classes:target/lib/* loadbalancer.faults.fleet.SwimFigures [seeds]}.
 */
public final class SwimFigures {
    private static final long SECOND = 1_000_000;

    private SwimFigures() {}

    /** With how many seeds, 10 if it isn't said. */
    public static void main(String[] args) {
        int seeds = args.length > 0 ? Integer.parseInt(args[0]) : 10;
        for (int members : List.of(10, 100, 1000)) {
            int some = members == 1000 ? Math.min(3, seeds) : seeds;
            traffic(members);
            for (double loss : List.of(0.0, 0.1)) {
                deaths(members, some, loss);
            }
            wrong(members, some, 0.1, false);
            wrong(members, some, 0.0, true);
            halves(members, some);
        }
    }

    private static void print(String text, Object... values) {
        System.out.println(String.format(Locale.ROOT, text, values));
    }

    private static void traffic(int members) {
        SwimWorld world = SwimWorld.warm(1, members);
        world.fleet().run(10 * SECOND);
        long[] before = world.traffic();
        world.fleet().run(60 * SECOND);
        long[] after = world.traffic();
        print(
                "%4d members, quiet: %.2f packets and %.0f bytes a second and member",
                members,
                (after[0] - before[0]) / 60.0 / members,
                (after[1] - before[1]) / 60.0 / members);
    }

    private static void deaths(int members, int seeds, double loss) {
        double sum = 0;
        double most = 0;
        for (int seed = 1; seed <= seeds; seed++) {
            SwimWorld world = SwimWorld.warm(seed, members);
            world.fleet().conditions().chances(loss, 0, 0);
            int victim = new SplittableRandom(seed).nextInt(members);
            world.process(victim).kill();
            double took =
                    world.until(
                            300,
                            w -> w.holding(victim, m -> m.health() == Health.DEAD) == members - 1);
            sum += took;
            most = Math.max(most, took);
        }
        print(
                "%4d members, loss %.0f%%: killed known dead to all in %.1f s on the mean of %d"
                        + " seeds, %.1f at most",
                members, loss * 100, sum / seeds, seeds, most);
    }

    private static void wrong(int members, int seeds, double loss, boolean stops) {
        long wrong = 0;
        long stopped = 0;
        int count = 0;
        int who = 0;
        int stoppedWho = 0;
        for (int seed = 1; seed <= seeds; seed++) {
            SwimWorld world = SwimWorld.warm(seed, members);
            world.fleet().conditions().chances(loss, 0, 0);
            SplittableRandom random = new SplittableRandom(seed);
            for (int second = 0; second < 120; second++) {
                VirtualProcess<?> process = world.process(random.nextInt(members));
                if (stops && second % 6 == 0) {
                    process.stop();
                    world.fleet().in(5 * SECOND, process::proceed);
                    count++;
                }
                world.fleet().run(SECOND);
            }
            wrong += world.wrongDeaths();
            stopped += world.stoppedDeaths();
            who += world.wronglyDead().size();
            stoppedWho += world.stoppedDead().size();
        }
        print(
                "%4d members, loss %.0f%%, %d stops of 5 s, %d seeds of 120 s: held for dead though"
                        + " they ran: %d (%d members); while stopped: %d (%d members)",
                members, loss * 100, count, seeds, wrong, who, stopped, stoppedWho);
    }

    private static void halves(int members, int seeds) {
        double apart = 0;
        double together = 0;
        for (int seed = 1; seed <= seeds; seed++) {
            SwimWorld world = SwimWorld.warm(seed, members);
            world.fleet()
                    .conditions()
                    .cutWhere((from, to) -> half(from, members) != half(to, members));
            apart =
                    Math.max(
                            apart,
                            world.until(
                                    600,
                                    w ->
                                            w.swim(0).countPeers(Health.DEAD) >= members / 2
                                                    && w.swim(members - 1).countPeers(Health.DEAD)
                                                            >= members / 2));
            world.fleet().run(10 * SECOND);
            world.fleet().conditions().heal();
            together = Math.max(together, world.until(600, SwimWorld::agree));
        }
        print(
                "%4d members, halves apart: the other half dead in %.1f s, all agree again %.1f s"
                        + " after, at most",
                members, apart, together);
    }

    private static boolean half(String address, int members) {
        String[] parts = address.split("[.:]");
        return Integer.parseInt(parts[2]) * 200 + Integer.parseInt(parts[3]) - 1 < members / 2;
    }
}
