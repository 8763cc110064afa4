package loadbalancer.faults;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import loadbalancer.transport.ListeningChannel;
import loadbalancer.transport.MemoryQuota;
import loadbalancer.transport.Transport;

/** What one process of the balancer has of the virtual world. */
final class VirtualTransport implements Transport {
    /** Unix time at the start of every world. */
    static final long EPOCH_MS = 1_767_225_600_000L;

    private final Timeline timeline;
    private final VirtualNetwork network;
    private final Host host;
    private final VirtualLoop loop;
    private final SplittableRandom random;
    private final ScarceAllocator allocator = new ScarceAllocator();
    private final MemoryQuota memoryQuota = MemoryQuota.unlimited();

    /** How far the wall clock has stepped, in milliseconds. */
    private long step;

    private int open;
    private int mostOpen = Integer.MAX_VALUE;
    private boolean queueFull;

    VirtualTransport(Timeline timeline, VirtualNetwork network, Host host, long seed) {
        this.timeline = timeline;
        this.network = network;
        this.host = host;
        this.loop = new VirtualLoop(timeline);
        this.random = new SplittableRandom(seed);
    }

    VirtualNetwork network() {
        return network;
    }

    Host host() {
        return host;
    }

    InetSocketAddress address() {
        return InetSocketAddress.createUnresolved(host.name, 0);
    }

    ScarceAllocator allocator() {
        return allocator;
    }

    /** From now on only so many more connections can be opened; a negative number lifts that. */
    void descriptorsLeft(int left) {
        mostOpen = left < 0 ? Integer.MAX_VALUE : open + left;
    }

    /** At most so many connections are open at a time, from the start. */
    void descriptors(int most) {
        mostOpen = most;
    }

    boolean hasDescriptor() {
        return open < mostOpen;
    }

    void opened() {
        open++;
    }

    void closed() {
        open--;
    }

    /** Whether those who connect have to wait, as with a listen queue that is full. */
    boolean isQueueFull() {
        return queueFull;
    }

    void queueFull(boolean now) {
        queueFull = now;
    }

    void stepWallClock(long millis) {
        step += millis;
    }

    VirtualLoop virtualLoop() {
        return loop;
    }

    @Override
    public EventLoop loop() {
        return loop;
    }

    @Override
    public long nanoTime() {
        return timeline.nanoTime();
    }

    @Override
    public long wallMillis() {
        return EPOCH_MS + timeline.micros() / 1_000 + step;
    }

    @Override
    public RandomGenerator random() {
        return random;
    }

    @Override
    public MemoryQuota memoryQuota() {
        return memoryQuota;
    }

    @Override
    public Channel newOutboundChannel() {
        if (!hasDescriptor()) {
            throw new ChannelException("no socket", new SocketException("Too many open files"));
        }
        return new VirtualChannel(this, null, null);
    }

    @Override
    public void readAvailable(Channel channel) {
        ((VirtualChannel) channel).readNow();
    }

    @Override
    public ListeningChannel newListener() {
        return new VirtualListener(this);
    }

    @Override
    public ListeningChannel newExclusiveListener() {
        return new VirtualListener(this);
    }
}
