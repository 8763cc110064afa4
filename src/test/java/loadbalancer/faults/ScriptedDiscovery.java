package loadbalancer.faults;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A discovery that does to each call what a test says, in virtual time. */
final class ScriptedDiscovery implements VirtualNetwork.Listener {
    static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final long EMPTY_LINE = 2_000_000;

    /** What becomes of a call that has come whole, or of a connection that has just come up. */
    interface Script {
        void on(Call call);
    }

    /** When calls came, in microseconds. */
    final List<Long> calls = new ArrayList<>();

    /** What becomes of a connection before anything was read from it. */
    Script accepted = c -> {};

    Script script = c -> {};

    /** Whether connections come up. */
    boolean room = true;

    private final Timeline timeline;

    ScriptedDiscovery(Timeline timeline) {
        this.timeline = timeline;
    }

    @Override
    public boolean hasRoom() {
        return room;
    }

    @Override
    public void accept(End end) {
        Call call = new Call(end);
        accepted.on(call);
        end.owner(call);
    }

    /** One connection with one call. */
    final class Call implements End.Owner {
        final End end;
        String uri = "";
        private final Message.Reader reader = new Message.Reader();
        private boolean silent;

        Call(End end) {
            this.end = end;
        }

        long since() {
            int at = uri.indexOf("since=");
            return at < 0 ? 0 : Long.parseLong(uri.substring(at + 6).split("[ &]")[0]);
        }

        boolean follows() {
            return uri.contains("follow=1");
        }

        boolean isOver() {
            return silent || end.isClosed();
        }

        /** From now on it says nothing, and goes on standing there. */
        void fallSilent() {
            silent = true;
        }

        void send(String text) {
            if (!isOver()) {
                end.send(text.getBytes(StandardCharsets.US_ASCII));
            }
        }

        void say(String text) {
            send(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }

        /** Says a line and from then on an empty one every 2 s. */
        void tell(String list) {
            say(list + "\n");
            beat();
        }

        private void beat() {
            timeline.in(
                    EMPTY_LINE,
                    () -> {
                        if (!isOver()) {
                            say("\n");
                            beat();
                        }
                    });
        }

        /** Sends that again and again, without end. */
        void drip(String text, long everyMicros) {
            timeline.in(
                    everyMicros,
                    () -> {
                        if (!isOver()) {
                            send(text);
                            drip(text, everyMicros);
                        }
                    });
        }

        @Override
        public void readable() {
            for (Message call : reader.add(end.take(Integer.MAX_VALUE))) {
                uri = call.start();
                calls.add(timeline.micros());
                script.on(this);
            }
        }

        @Override
        public void ended() {
            end.close();
        }

        @Override
        public void reset() {}

        @Override
        public void writable() {}
    }
}
