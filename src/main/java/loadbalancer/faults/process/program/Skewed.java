package loadbalancer.faults.process.program;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import loadbalancer.LoadBalancer;
import loadbalancer.LoadBalancerActions;
import loadbalancer.RequestDescriptor;
import loadbalancer.faults.process.peer.RealTime;
import loadbalancer.node.Environment;
import loadbalancer.node.Main;
import loadbalancer.proxy.LoadBalancerFactory;
import loadbalancer.snapshot.DirectoryStorage;
import loadbalancer.snapshot.Storage;
import loadbalancer.transport.ListeningChannel;
import loadbalancer.transport.MemoryQuota;
import loadbalancer.transport.SocketTransport;
import loadbalancer.transport.Transport;

/**
 * The program's {@code serve} with a wall clock, a disk and a module that the rig can put out of
 * order. A main class of its own: nothing in the program's environment or settings leads here.
 */
public final class Skewed implements Environment {
    /** How often the file is read again. */
    private static final long LOOK_MS = 20;

    /** As a process has it that a signal ended: told apart from the program's own 1 and 2. */
    private static final int CRASHED = 70;

    private final Path file;
    private volatile Odds odds;

    private Skewed(Path file) throws IOException {
        this.file = file;
        this.odds = Odds.read(file);
    }

    /** Serves; the one argument names the file of {@link Odds}. */
    public static void main(String[] args) throws IOException {
        Skewed skewed = new Skewed(Path.of(args[0]));
        if (skewed.odds.crashAtStart()) {
            System.err.println("crashes at its start, by order");
            Runtime.getRuntime().halt(CRASHED);
        }
        Thread reader = new Thread(skewed::follow, "odds");
        reader.setDaemon(true);
        reader.start();
        Main.serve(skewed);
    }

    private void follow() {
        while (true) {
            try {
                Thread.sleep(LOOK_MS);
                odds = Odds.read(file);
            } catch (IOException e) {
                // the folder is being removed: what holds, holds
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    @Override
    public Transport transport(EventLoop loop) {
        return new OffClock(new SocketTransport(loop));
    }

    @Override
    public Storage storage(Path folder) {
        return new BadDisk(new DirectoryStorage(folder), () -> odds);
    }

    @Override
    public LoadBalancerFactory loadBalancers() {
        return (settings, seed, out) -> {
            LoadBalancer real = LoadBalancerFactory.BALANCE.create(settings, seed, out);
            Clumsy clumsy = new Clumsy(out);
            return (LoadBalancer)
                    Proxy.newProxyInstance(
                            LoadBalancer.class.getClassLoader(),
                            new Class<?>[] {LoadBalancer.class},
                            (proxy, method, args) -> {
                                boolean asks =
                                        method.getName().equals("requestReceived")
                                                || method.getName().equals("requestHeadReceived");
                                if (asks && clumsy.drops((RequestDescriptor) args[1])) {
                                    return null;
                                }
                                try {
                                    return method.invoke(real, args);
                                } catch (InvocationTargetException e) {
                                    throw e.getCause();
                                }
                            });
        };
    }

    /** What happens to requests before the module gets them. */
    private final class Clumsy {
        private final LoadBalancerActions out;
        private final List<byte[]> leaked = new ArrayList<>();
        private int requests;

        Clumsy(LoadBalancerActions out) {
            this.out = out;
        }

        /** Whether that was the end of it. */
        boolean drops(RequestDescriptor request) {
            Odds now = odds;
            requests++;
            if (now.crashAfter() > 0 && requests >= now.crashAfter()) {
                System.err.println("crashes at request " + requests + ", by order");
                Runtime.getRuntime().halt(CRASHED);
            }
            if (now.leakBytes() > 0) {
                leaked.add(new byte[now.leakBytes()]);
            }
            if (now.failOneIn() > 0 && requests % now.failOneIn() == 0) {
                out.fail(request.id());
                return true;
            }
            return false;
        }
    }

    /** Real sockets and time, but for the wall clock. */
    private final class OffClock implements Transport {
        private final Transport real;

        OffClock(Transport real) {
            this.real = real;
        }

        @Override
        public long wallMillis() {
            return RealTime.wallMillis() + odds.clockMs();
        }

        @Override
        public EventLoop loop() {
            return real.loop();
        }

        @Override
        public long nanoTime() {
            return real.nanoTime();
        }

        @Override
        public RandomGenerator random() {
            return real.random();
        }

        @Override
        public MemoryQuota memoryQuota() {
            return real.memoryQuota();
        }

        @Override
        public Channel newOutboundChannel() {
            return real.newOutboundChannel();
        }

        @Override
        public void readAvailable(Channel channel) {
            real.readAvailable(channel);
        }

        @Override
        public ListeningChannel newListener() {
            return real.newListener();
        }

        @Override
        public ListeningChannel newExclusiveListener() {
            return real.newExclusiveListener();
        }
    }
}
