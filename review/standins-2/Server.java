import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A server behind the balancers: takes requests one at a time on kept connections, answers each
 * with 200 and its id after a short time, and reports its load.
 */
final class Server {
    /** A request that came: when its first byte did, its id and the port it came from. */
    record Ran(long atMillis, String id, int port) {}

    private static final int WORK_MILLIS = 20;

    final String name;
    final String address;
    final List<Ran> ran = new CopyOnWriteArrayList<>();
    private final Rig rig;
    private final ServerSocket listener;

    Server(Rig rig, String name) throws IOException {
        this.rig = rig;
        this.name = name;
        listener = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
        address = "127.0.0.1:" + listener.getLocalPort();
        daemon(this::accept);
    }

    static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                daemon(() -> serve(socket));
            }
        } catch (IOException e) {
            rig.note(name + " no longer listens: " + e);
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (serveOne(socket, in)) {
                continue;
            }
        } catch (IOException e) {
            return; // the balancer has given the attempt up
        }
    }

    private boolean serveOne(Socket socket, InputStream in) throws IOException {
        in.mark(1);
        if (in.read() < 0) {
            return false;
        }
        long firstByteAt = rig.now();
        in.reset();
        String id = "";
        int length = 0;
        Rig.line(in);
        for (String field = Rig.line(in); field != null; field = Rig.line(in)) {
            if (field.isEmpty()) {
                break;
            }
            String lower = field.toLowerCase(Locale.ROOT);
            if (lower.startsWith("x-correlation-id:")) {
                id = field.substring(17).strip();
            } else if (lower.startsWith("content-length:")) {
                length = Integer.parseInt(lower.substring(15).strip());
            }
        }
        in.readNBytes(length);
        ran.add(new Ran(firstByteAt, id, socket.getPort()));
        rig.detail(firstByteAt, name + " runs " + id + " from port " + socket.getPort());
        Rig.pause(WORK_MILLIS);
        String answer =
                "HTTP/1.1 200 OK\r\nX-Backend-Load: cpu=0.2,rps=20\r\nContent-Length: "
                        + id.length()
                        + "\r\n\r\n"
                        + id;
        socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
        return true;
    }

    /** Returns the requests that came after a time. */
    List<Ran> ranAfter(long millis) {
        return ran.stream().filter(request -> request.atMillis() > millis).toList();
    }
}
