package loadbalancer.capacity;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.lang.management.ManagementFactory;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import loadbalancer.EndpointListUpdateType;
import loadbalancer.LoadBalancer;
import loadbalancer.ReweightingLoadBalancer;
import loadbalancer.transport.MillisecondIoHandler;

/** The timers of many idle modules on an event loop as a balancer has it, in real time. */
final class EventLoopMeasurement implements Measurement {
    private static final int WARM_UP_MS = 1_000;
    private static final int MEASURED_MS = 2_000;
    private static final long SEED = 7;

    @Override
    public String description() {
        return "processor time of an event loop with many idle modules, in real time";
    }

    @Override
    public void run(Recorder recorder) throws Exception {
        for (int size : ModulesMeasurement.SIZES) {
            EventLoopGroup group =
                    new MultiThreadIoEventLoopGroup(
                            1,
                            new DefaultThreadFactory("loop", true),
                            MillisecondIoHandler.factory());
            try {
                recorder.add(
                        "event_loop.idle_modules",
                        "modules",
                        size,
                        measure(group.next(), size),
                        "ms a second");
            } finally {
                group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
            }
        }
    }

    private static double measure(EventLoop loop, int modules) throws InterruptedException {
        loop.submit(
                        () -> {
                            for (int i = 0; i < modules; i++) {
                                new ModuleOnLoop(loop, SEED + i).start();
                            }
                        })
                .sync();
        Thread.sleep(WARM_UP_MS);
        long started = System.nanoTime();
        long before = cpuOf(loop);
        Thread.sleep(MEASURED_MS);
        long cpu = cpuOf(loop) - before;
        return cpu / 1e6 / ((System.nanoTime() - started) / 1e9);
    }

    private static long cpuOf(EventLoop loop) throws InterruptedException {
        LongSupplier own = ManagementFactory.getThreadMXBean()::getCurrentThreadCpuTime;
        return loop.submit(own::getAsLong).sync().getNow();
    }

    /** A module whose timers the loop keeps. */
    private static final class ModuleOnLoop implements IdleActions {
        private final EventLoop loop;
        private final LoadBalancer module;

        ModuleOnLoop(EventLoop loop, long seed) {
            this.loop = loop;
            this.module =
                    new ReweightingLoadBalancer(ModulesMeasurement.setup().settings(), seed, this);
        }

        void start() {
            module.start(now());
            module.updateEndpoints(
                    now(), EndpointListUpdateType.FULL, ModulesMeasurement.setup().list());
        }

        private static long now() {
            return System.nanoTime() / 1_000;
        }

        @Override
        public void scheduleTimer(String token, long delay) {
            loop.schedule(() -> module.timerExpired(now(), token), delay, TimeUnit.MICROSECONDS);
        }
    }
}
