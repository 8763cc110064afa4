import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.locks.LockSupport;

/** A relay to one address that delivers all bytes later by a fixed time in each direction. */
final class Relay implements AutoCloseable {
    private record Piece(long dueNanos, byte[] bytes) {}

    private final Server server;
    private final String target;
    private final long delayNanos;

    Relay(String target, long delayMicros) throws IOException {
        this.target = target;
        this.delayNanos = delayMicros * 1_000;
        this.server = new Server(0, this::serve);
    }

    String address() {
        return server.address();
    }

    private void serve(Socket socket, InputStream in) throws Exception {
        try (Socket other = Balancer.connect(target)) {
            other.setTcpNoDelay(true);
            Thread back = Server.start("back", () -> copy(other, socket));
            copy(socket, other);
            back.join();
        }
    }

    private void copy(Socket from, Socket to) {
        LinkedBlockingQueue<Piece> pieces = new LinkedBlockingQueue<>();
        Thread writer = Server.start("writer", () -> write(pieces, to));
        byte[] buffer = new byte[1 << 16];
        try {
            InputStream in = from.getInputStream();
            for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                byte[] bytes = java.util.Arrays.copyOf(buffer, read);
                pieces.add(new Piece(System.nanoTime() + delayNanos, bytes));
            }
        } catch (IOException e) {
            // the connection has ended
        }
        pieces.add(new Piece(System.nanoTime() + delayNanos, null));
        try {
            writer.join();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void write(LinkedBlockingQueue<Piece> pieces, Socket to) {
        try {
            while (true) {
                Piece piece = pieces.take();
                for (long left = piece.dueNanos() - System.nanoTime();
                        left > 0;
                        left = piece.dueNanos() - System.nanoTime()) {
                    LockSupport.parkNanos(left);
                }
                if (piece.bytes() == null) {
                    to.shutdownOutput();
                    return;
                }
                to.getOutputStream().write(piece.bytes());
            }
        } catch (IOException | InterruptedException e) {
            // the connection has ended
        }
    }

    @Override
    public void close() {
        server.close();
    }
}
