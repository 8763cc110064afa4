package loadbalancer.faults;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The stand-in for discovery: whole lists and watches, on time, late, torn, older, or not at all.
 */
final class VirtualDiscovery implements VirtualNetwork.Listener {
    private static final long EMPTY_LINE = 2_000_000;
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private record Change(int version, String entry, String id, boolean open) {}

    /** How it answers a call. */
    private enum Manner {
        WELL,
        SILENT,
        MUTE,
        BUSY,
        ENDLESS
    }

    /** After SIGHUP has moved it, what it had counts as told so much later. */
    private static final long AFTER_MOVE = 4_000_000;

    private static final long ENDLESS_PIECE = 400_000;

    /** An endless line has so many pieces; then its connection is closed at the latest. */
    private static final int ENDLESS_PIECES = 100;

    InetSocketAddress address = VirtualWorld.address(3, 1, 9500);
    final Host host = new Host("discovery");
    long late;
    boolean tornNext;
    private final VirtualWorld world;
    private final List<Change> changes = new ArrayList<>();
    private final List<Watch> watches = new ArrayList<>();
    private boolean down;
    private Manner manner = Manner.WELL;
    private boolean full;

    /**
     * Troubles in which no call is answered, other than being down, and when the last one ended.
     */
    private int outages;

    private long reachableSince;

    /**
     * What it has of those that drain or are gone, and the time from which the clock for each
     * counts.
     */
    private final Map<String, Long> closed = new LinkedHashMap<>();

    private int moves;

    /** What is added to the number of changes for the version that is told. */
    private int offset;

    VirtualDiscovery(VirtualWorld world) {
        this.world = world;
        world.network.listen(host, address, this);
    }

    static String entry(Upstream u, String id, String state) {
        return "{\"id\":\""
                + id
                + "\",\"addr\":\""
                + u.address.getAddress().getHostAddress()
                + ":"
                + u.address.getPort()
                + "\",\"zone\":\"z"
                + u.zone
                + "\",\"kind\":\"k\",\"cell\":0,\"state\":\""
                + state
                + "\",\"weight\":1.0,\"started_ms\":"
                + u.startedMs
                + "}";
    }

    /**
     * Something has become of an upstream; watches hear of it after the time that discovery takes.
     */
    void tell(Upstream u, String id, String state, long after) {
        String entry = entry(u, id, state);
        world.timeline.in(
                after + late,
                () -> {
                    if (state.equals("Ready")) {
                        closed.remove(id);
                    } else {
                        has(u, id);
                    }
                    changes.add(new Change(changes.size() + 1, entry, id, state.equals("Ready")));
                    List.copyOf(watches).forEach(Watch::update);
                });
    }

    /**
     * From now on discovery has it that one drains or is gone. Whether or not it arrives, and
     * whatever becomes of watches and calls, such a word counts as told 6 s after discovery had it
     * and could be reached. For the time in which it is down nothing is allowed, which is stricter
     * than the operators' words.
     */
    private void has(Upstream u, String id) {
        long now = world.timeline.micros();
        closed.put(id, now);
        toldFrom(u, id, now);
    }

    private void toldFrom(Upstream u, String id, long from) {
        world.timeline.at(
                from + Oracle.LATEST_WORD,
                () -> {
                    if (!u.id.equals(id) || !u.draining && u.alive) {
                        return;
                    }
                    if (outages > 0) {
                        waiting.add(() -> toldFrom(u, id, world.timeline.micros()));
                    } else if (reachableSince > from) {
                        toldFrom(u, id, reachableSince);
                    } else {
                        world.oracle.toldClosed(id);
                    }
                });
    }

    /** What waits for the end of all outages. */
    private final List<Runnable> waiting = new ArrayList<>();

    private void outage(long len) {
        outages++;
        world.timeline.in(
                len,
                () -> {
                    if (--outages == 0) {
                        reachableSince = world.timeline.micros();
                        List<Runnable> now = List.copyOf(waiting);
                        waiting.clear();
                        now.forEach(Runnable::run);
                    }
                });
    }

    /** One of the troubles that a watch or a call has. */
    void strike(Fault f) {
        long len = f.lenMs() * 1_000;
        switch (f.kind()) {
            case WATCH_SILENT -> {
                List.copyOf(watches).forEach(w -> w.fallSilent(f.target()));
                if (f.size() > 0.5) {
                    answers(Manner.SILENT, len); // and so do those opened anew; else these are well
                }
            }
            case WATCH_RESET -> List.copyOf(watches).forEach(Watch::breakOff);
            case DISCOVERY_MUTE -> answers(Manner.MUTE, len);
            case DISCOVERY_BUSY -> answers(Manner.BUSY, len);
            case DISCOVERY_ENDLESS -> answers(Manner.ENDLESS, len);
            case DISCOVERY_FULL -> {
                full = true;
                world.timeline.in(len, () -> full = false);
                outage(len);
            }
            default -> throw new IllegalStateException("no trouble of discovery's: " + f.kind());
        }
        if (f.kind() != Fault.Kind.WATCH_SILENT
                && f.kind() != Fault.Kind.WATCH_RESET
                && f.size() > 0.5) {
            List.copyOf(watches).forEach(Watch::breakOff);
        }
    }

    private void answers(Manner now, long len) {
        manner = now;
        world.timeline.in(
                len,
                () -> {
                    if (manner == now) {
                        manner = Manner.WELL;
                    }
                });
        outage(len);
    }

    /**
     * Listens at another address from now on, with versions that begin anew there. At the old one
     * watches stay open and say nothing new any more. What it has by 4 s later counts as told then.
     */
    void move() {
        world.network.unlisten(address, this);
        moves++;
        address = VirtualWorld.address(3, 1 + moves, 9500);
        offset = 1 - changes.size();
        if (!down) {
            world.network.listen(host, address, this);
        }
        watches.forEach(w -> w.old = true);
        watches.clear();
        long at = world.timeline.micros();
        world.timeline.in(
                AFTER_MOVE,
                () -> {
                    if (outages == 0 && reachableSince <= at) {
                        world.upstreams.stream()
                                .filter(u -> closed.containsKey(u.id) && (u.draining || !u.alive))
                                .forEach(u -> world.oracle.toldClosed(u.id));
                    }
                });
    }

    /** A process starts; what discovery has in an outage it gets to know once that is over. */
    void newcomer() {
        if (outages > 0 || down && world.descriptors > 0) {
            world.oracle.nothingTold();
            for (Upstream u : world.upstreams) {
                if (closed.containsKey(u.id)) {
                    toldFrom(u, u.id, world.timeline.micros());
                }
            }
        }
    }

    void down(boolean now) {
        if (down == now) {
            return;
        }
        down = now;
        if (down) {
            world.network.unlisten(address, this);
            world.network.breakAll(host);
            watches.clear();
        } else {
            world.network.listen(host, address, this);
        }
    }

    /** Tells every watch a list of an older version again. */
    void tellOld() {
        for (Watch w : List.copyOf(watches)) {
            int version = Math.max(0, w.known + offset - 1 - w.known / 2);
            w.line("{\"version\":" + version + ",\"full\":false,\"servers\":[]}");
        }
    }

    @Override
    public boolean hasRoom() {
        return !full;
    }

    @Override
    public void accept(End end) {
        end.owner(new Watch(end));
    }

    /** One call; most of them watch. */
    private final class Watch implements End.Owner {
        private final End end;
        private final Message.Reader reader = new Message.Reader();
        private int known;
        private boolean gone;
        private boolean silent;

        /** Open at an address from which discovery has moved away. */
        private boolean old;

        Watch(End end) {
            this.end = end;
        }

        @Override
        public void readable() {
            for (Message call : reader.add(end.take(Integer.MAX_VALUE))) {
                int since = call.start().indexOf("since=");
                known =
                        since < 0
                                ? 0
                                : Integer.parseInt(
                                        call.start().substring(since + 6).split("[ &]")[0]);
                known = known == 0 ? 0 : Math.max(0, Math.min(known - offset, changes.size()));
                if (manner != Manner.WELL) {
                    answerIll();
                    continue;
                }
                send(HEAD);
                watches.add(this);
                first();
                beat();
            }
        }

        private void answerIll() {
            silent = true;
            switch (manner) {
                case BUSY -> send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
                case ENDLESS -> {
                    send(HEAD);
                    endless(0);
                }
                case SILENT -> {
                    send(HEAD);
                    beginLine(known);
                }
                default -> {} // says nothing at all
            }
        }

        private void endless(int pieces) {
            if (!gone && !end.isClosed() && pieces < ENDLESS_PIECES) {
                send(chunk(pieces == 0 ? "{\"version\":" : " "));
                world.timeline.in(ENDLESS_PIECE, () -> endless(pieces + 1));
            }
        }

        /** Nothing comes any more, behind half a line, a blank or nothing at all. */
        void fallSilent(int how) {
            if (!silent) {
                beginLine(how);
                silent = true;
            }
        }

        private void beginLine(int how) {
            if (how % 3 == 1) {
                send(chunk("{\"version\":1,\"full\":fa"));
            } else if (how % 3 == 2) {
                line("");
            }
        }

        void breakOff() {
            gone = true;
            watches.remove(this);
            end.breakOff();
        }

        /** What changed since then, or the whole list for one who knows nothing. */
        private void first() {
            if (known == 0) {
                List<String> entries = new ArrayList<>();
                for (Upstream u : world.upstreams) {
                    if (u.alive) {
                        entries.add(entry(u, u.id, u.draining ? "Terminating" : "Ready"));
                        note(u.id, !u.draining);
                    }
                }
                known = changes.size();
                line(
                        "{\"version\":"
                                + (known + offset)
                                + ",\"full\":true,\"servers\":["
                                + String.join(",", entries)
                                + "]}");
            } else {
                update();
            }
        }

        void update() {
            if (gone || silent || old || known >= changes.size()) {
                return;
            }
            List<Change> news = changes.subList(known, changes.size());
            boolean torn = tornNext;
            tornNext = false;
            String text =
                    "{\"version\":"
                            + (changes.size() + offset)
                            + ",\"full\":false,\"servers\":["
                            + String.join(",", news.stream().map(Change::entry).toList())
                            + "]}";
            if (torn) {
                send(chunk(text.substring(0, text.length() / 2)));
                gone = true;
                watches.remove(this);
                world.timeline.in(5_000, end::breakOff);
                return;
            }
            news.forEach(c -> note(c.id, c.open));
            known = changes.size();
            line(text);
        }

        private void note(String id, boolean open) {
            if (open) {
                world.oracle.toldReady(id);
            } else if (!host.silent && !end.isClosed() && !world.hasEnded(end.other().host())) {
                world.oracle.toldClosed(id);
            }
        }

        private void beat() {
            world.timeline.in(
                    EMPTY_LINE,
                    () -> {
                        if (!gone && !silent && !end.isClosed()) {
                            line("");
                            beat();
                        }
                    });
        }

        void line(String text) {
            send(chunk(text + "\n"));
        }

        private static String chunk(String text) {
            return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
        }

        private void send(String text) {
            end.send(text.getBytes(StandardCharsets.US_ASCII));
        }

        @Override
        public void ended() {
            reset();
            end.close();
        }

        @Override
        public void reset() {
            gone = true;
            watches.remove(this);
        }

        @Override
        public void writable() {}
    }
}
