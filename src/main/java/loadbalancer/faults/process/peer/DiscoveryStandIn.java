package loadbalancer.faults.process.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import loadbalancer.faults.process.check.Told;
import loadbalancer.faults.process.peer.Sockets.Message;
import loadbalancer.faults.process.peer.Sockets.Server;

/**
 * A stand-in for discovery, with a door for each balancer, since an upstream's address differs from
 * one to the next. Lists and watches; it may be late, tell an older list, or be down.
 */
public final class DiscoveryStandIn implements AutoCloseable {
    /** Oftener than the 2 s that are due, so that a loaded machine keeps to them. */
    private static final long BEAT_MS = 1_000;

    /** An upstream as the list has it; {@code addresses} by balancer. */
    public record Entry(
            String id,
            List<String> addresses,
            String zone,
            String kind,
            String state,
            double weight,
            long startedMs) {
        /** The same in another state. */
        public Entry in(String next) {
            return new Entry(id, addresses, zone, kind, next, weight, startedMs);
        }

        /** The same, started anew. */
        public Entry started(long ms) {
            return new Entry(id, addresses, zone, kind, "Ready", weight, ms);
        }
    }

    private record Watch(int balancer, Socket socket) {}

    private final EvidenceLog log;
    private final Map<String, Entry> list = new LinkedHashMap<>();
    private final List<Server> doors = new ArrayList<>();
    private final List<InetSocketAddress> at;
    private final List<Watch> watches = new CopyOnWriteArrayList<>();
    private final ScheduledExecutorService later =
            Executors.newSingleThreadScheduledExecutor(
                    task -> {
                        Thread thread = new Thread(task, "discovery");
                        thread.setDaemon(true);
                        return thread;
                    });
    private long version = 1;
    private volatile long lateMs;
    private volatile boolean down;

    /** Opens a door for each balancer; the list is empty. */
    public DiscoveryStandIn(List<InetSocketAddress> at, EvidenceLog log) throws IOException {
        this.log = log;
        this.at = at;
        for (int i = 0; i < at.size(); i++) {
            int balancer = i;
            doors.add(new Server(at.get(i), (m, socket) -> called(balancer, m, socket)));
        }
        later.scheduleWithFixedDelay(this::beat, BEAT_MS, BEAT_MS, TimeUnit.MILLISECONDS);
    }

    /** Tells of upstreams, new ones or those that have changed, as late as it is. */
    public void publish(List<Entry> entries) {
        if (lateMs > 0) {
            later.schedule(() -> tell(entries), lateMs, TimeUnit.MILLISECONDS);
        } else {
            tell(entries);
        }
    }

    private synchronized void tell(List<Entry> entries) {
        version++;
        entries.forEach(e -> list.put(e.id(), e));
        watches.forEach(w -> write(w, text(w.balancer(), version, false, entries), entries));
        list.values().removeIf(e -> e.state().equals("Gone"));
    }

    /** The list as it is. */
    public synchronized Entry entry(String id) {
        return list.get(id);
    }

    /** Tells that much late from now on. */
    public void late(long ms) {
        lateMs = ms;
    }

    /** Tells an older list, which has these entries alone, and after the time the list as it is. */
    public synchronized void stale(List<Entry> older, long forMs) {
        watches.forEach(w -> write(w, text(w.balancer(), version - 1, true, older), older));
        later.schedule(
                () -> {
                    synchronized (this) {
                        List<Entry> now = List.copyOf(list.values());
                        version++;
                        watches.forEach(w -> write(w, text(w.balancer(), version, true, now), now));
                    }
                },
                forMs,
                TimeUnit.MILLISECONDS);
    }

    /** Down: watches end, and calls get 503. */
    public synchronized void down(boolean now) {
        down = now;
        if (now) {
            watches.forEach(this::end);
        }
    }

    private void end(Watch watch) {
        watches.remove(watch);
        try {
            watch.socket().close();
        } catch (IOException e) {
            // gone already
        }
    }

    private void called(int balancer, Message call, Socket socket) throws IOException {
        if (call.start().startsWith("GET " + Upstream.PROBE)) {
            Sockets.answer(socket, "200 OK", "", "discovery");
            return;
        }
        synchronized (this) {
            if (down) {
                Sockets.answer(socket, "503 Service Unavailable", "", "");
                return;
            }
            List<Entry> all = List.copyOf(list.values());
            if (call.start().contains("follow=1")) {
                Sockets.beginChunks(socket);
                Watch watch = new Watch(balancer, socket);
                watches.add(watch);
                write(watch, text(balancer, version, true, all), all);
            } else {
                all.forEach(e -> told(balancer, e));
                Sockets.answer(socket, "200 OK", "", text(balancer, version, true, all));
            }
        }
    }

    private void told(int balancer, Entry e) {
        log.note(new Told(balancer, e.id(), e.state().equals("Ready"), RealTime.micros()));
    }

    private void write(Watch watch, String line, List<Entry> entries) {
        try {
            entries.forEach(e -> told(watch.balancer(), e));
            Sockets.chunk(watch.socket(), line);
        } catch (IOException e) {
            end(watch);
        }
    }

    private synchronized void beat() {
        for (Watch w : watches) {
            try {
                Sockets.chunk(w.socket(), "");
            } catch (IOException e) {
                end(w);
            }
        }
    }

    private static String text(int balancer, long version, boolean full, List<Entry> entries) {
        StringBuilder text =
                new StringBuilder(
                        "{\"version\":" + version + ",\"full\":" + full + ",\"servers\":[");
        for (Entry e : entries) {
            text.append(text.charAt(text.length() - 1) == '[' ? "" : ",")
                    .append("{\"id\":\"")
                    .append(e.id())
                    .append("\",\"addr\":\"")
                    .append(e.addresses().get(balancer))
                    .append("\",\"zone\":\"")
                    .append(e.zone())
                    .append("\",\"kind\":\"")
                    .append(e.kind())
                    .append("\",\"cell\":0,")
                    .append("\"state\":\"")
                    .append(e.state())
                    .append("\",\"weight\":")
                    .append(e.weight())
                    .append(",\"started_ms\":")
                    .append(e.startedMs())
                    .append('}');
        }
        return text.append("]}").toString();
    }

    /** Where the doors are. */
    public List<InetSocketAddress> addresses() {
        return at;
    }

    @Override
    public void close() {
        later.shutdownNow();
        doors.forEach(Server::close);
    }
}
