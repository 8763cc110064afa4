package yewyoke.faults;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** The stand-in for discovery: whole lists and watches, on time, late, torn, older, or not at all. */
final class Discovery implements VirtualNetwork.Listener {
    private static final long EMPTY_LINE = 2_000_000;
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private record Change(int version, String entry, String id, boolean open) { }

    final InetSocketAddress address = World.address(3, 1, 9500);
    final Host host = new Host("discovery");
    long late;
    boolean tornNext;
    private final World world;
    private final List<Change> changes = new ArrayList<>();
    private final List<Watch> watches = new ArrayList<>();
    private boolean down;

    Discovery(World world) {
        this.world = world;
        world.network.listen(host, address, this);
    }

    static String entry(Upstream u, String id, String state) {
        return "{\"id\":\"" + id + "\",\"addr\":\"" + u.address.getAddress().getHostAddress() + ":"
                + u.address.getPort() + "\",\"zone\":\"z" + u.zone
                + "\",\"kind\":\"k\",\"cell\":0,\"state\":\"" + state + "\",\"weight\":1.0,\"started_ms\":"
                + u.startedMs + "}";
    }

    /** Something has become of an upstream; watches hear of it after the time that discovery takes. */
    void tell(Upstream u, String id, String state, long after) {
        String entry = entry(u, id, state);
        if (!state.equals("Ready")) {
            // Whether or not it arrives, such a word counts as told by then.
            world.timeline.in(after + late + Oracle.LATEST_WORD, () -> {
                if (u.id.equals(id) && (u.draining || !u.alive)) {
                    world.oracle.toldClosed(id);
                }
            });
        }
        world.timeline.in(after + late, () -> {
            changes.add(new Change(changes.size() + 1, entry, id, state.equals("Ready")));
            List.copyOf(watches).forEach(Watch::update);
        });
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
            int version = Math.max(0, w.known - 1 - w.known / 2);
            w.line("{\"version\":" + version + ",\"full\":false,\"servers\":[]}");
        }
    }

    @Override public boolean hasRoom() {
        return true;
    }

    @Override public void accept(End end) {
        end.owner(new Watch(end));
    }

    /** One call; most of them watch. */
    private final class Watch implements End.Owner {
        private final End end;
        private final Message.Reader reader = new Message.Reader();
        private int known;
        private boolean gone;

        Watch(End end) {
            this.end = end;
        }

        @Override public void readable() {
            for (Message call : reader.add(end.take(Integer.MAX_VALUE))) {
                int since = call.start().indexOf("since=");
                known = since < 0 ? 0 : Integer.parseInt(call.start().substring(since + 6).split("[ &]")[0]);
                known = Math.min(known, changes.size());
                send(HEAD);
                watches.add(this);
                first();
                beat();
            }
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
                line("{\"version\":" + known + ",\"full\":true,\"servers\":["
                        + String.join(",", entries) + "]}");
            } else {
                update();
            }
        }

        void update() {
            if (gone || known >= changes.size()) {
                return;
            }
            List<Change> news = changes.subList(known, changes.size());
            boolean torn = tornNext;
            tornNext = false;
            String text = "{\"version\":" + changes.size() + ",\"full\":false,\"servers\":["
                    + String.join(",", news.stream().map(Change::entry).toList()) + "]}";
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
            } else if (!host.silent && !end.isClosed()) {
                world.oracle.toldClosed(id);
            }
        }

        private void beat() {
            world.timeline.in(EMPTY_LINE, () -> {
                if (!gone && !end.isClosed()) {
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

        @Override public void ended() {
            reset();
            end.close();
        }

        @Override public void reset() {
            gone = true;
            watches.remove(this);
        }

        @Override public void writable() { }
    }
}
