import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Discovery: the whole list, and watches that tell each change at once and send an empty line every
 * 2 s. A call may have to wait for its turn.
 */
final class Discovery {
    private static final int EMPTY_LINE_MILLIS = 2_000;

    final String address;
    private final Rig rig;
    private final String name;
    private ServerSocket listener;
    private final List<Socket> open = new ArrayList<>();
    private final Map<String, String> entries = new LinkedHashMap<>();
    private final TreeMap<Long, String> changes = new TreeMap<>();
    private long version = 1;

    /** How long a call waits for its turn. */
    private volatile int waitMillis;

    Discovery(Rig rig, String name, List<Server> servers) throws IOException {
        this.rig = rig;
        this.name = name;
        for (Server server : servers) {
            entries.put(server.name, entry(server, "Ready"));
        }
        address = Rig.freeAddress();
        listen();
    }

    private void listen() throws IOException {
        ServerSocket opened = new ServerSocket();
        opened.setReuseAddress(true);
        opened.bind(Rig.address(address), 64);
        listener = opened;
        Server.daemon(() -> accept(opened));
    }

    /** Is down: new connections are refused, and watches end. */
    void goDown() throws IOException {
        stopAccepting();
        closeOpen();
    }

    /** Is up again. */
    void comeBack() throws IOException {
        rig.note(name + " is up again");
        listen();
    }

    private static String entry(Server server, String state) {
        return "{\"id\":\""
                + server.name
                + "\",\"addr\":\""
                + server.address
                + "\",\"zone\":\"north\",\"kind\":\"fast\",\"cell\":0,\"state\":\""
                + state
                + "\",\"weight\":1.0,\"started_ms\":0}";
    }

    /** Tells that a server drains. */
    synchronized void drain(Server server) {
        String changed = entry(server, "Terminating");
        entries.put(server.name, changed);
        version++;
        changes.put(version, changed);
        rig.note(name + " has the drain of " + server.name + " as version " + version);
        notifyAll();
    }

    /** Has each call wait for its turn from now on. */
    void setWaitMillis(int millis) {
        waitMillis = millis;
    }

    /** Accepts no new connection. */
    void stopAccepting() throws IOException {
        listener.close();
    }

    /** Closes the open connections. */
    synchronized void closeOpen() throws IOException {
        for (Socket socket : open) {
            socket.close();
        }
    }

    private void accept(ServerSocket from) {
        try {
            while (true) {
                Socket socket = from.accept();
                socket.setTcpNoDelay(true);
                synchronized (this) {
                    open.add(socket);
                }
                Server.daemon(() -> serve(socket));
            }
        } catch (IOException e) {
            rig.note(name + " accepts no new connection");
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String call = Rig.line(in);
            for (String field = call; field != null && !field.isEmpty(); field = Rig.line(in)) {
                continue;
            }
            if (call == null) {
                return;
            }
            rig.note(name + " is called: " + call);
            Rig.pause(waitMillis);
            OutputStream out = socket.getOutputStream();
            rig.note(name + " answers after " + waitMillis + " ms");
            if (call.contains("follow=1")) {
                follow(out, Long.parseLong(call.replaceAll(".*since=(\\d+).*", "$1")));
            } else {
                String list = whole();
                out.write(
                        ("HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list)
                                .getBytes(StandardCharsets.US_ASCII));
            }
        } catch (IOException e) {
            rig.note(name + ": a call has ended");
        }
    }

    /** Returns the whole list. */
    synchronized String whole() {
        return list(true, new ArrayList<>(entries.values()));
    }

    private String list(boolean isFull, List<String> listed) {
        return "{\"version\":"
                + version
                + ",\"full\":"
                + isFull
                + ",\"servers\":["
                + String.join(",", listed)
                + "]}";
    }

    private void follow(OutputStream out, long since) throws IOException {
        out.write(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                        .getBytes(StandardCharsets.US_ASCII));
        long told = since;
        String line = told == 0 ? whole() : "";
        while (true) {
            synchronized (this) {
                if (told != 0 && told < version) {
                    line = list(false, new ArrayList<>(changes.tailMap(told, false).values()));
                }
                told = version;
            }
            byte[] bytes = (line + "\n").getBytes(StandardCharsets.US_ASCII);
            out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
            out.write(bytes);
            out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
            line = "";
            synchronized (this) {
                if (told == version) {
                    try {
                        wait(EMPTY_LINE_MILLIS);
                    } catch (InterruptedException e) {
                        return;
                    }
                }
            }
        }
    }
}
