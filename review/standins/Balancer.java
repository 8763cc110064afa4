import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** One process of the balancer, started with {@code run} of the deploy file. */
final class Balancer implements AutoCloseable {
    private final Process process;
    private final String address;
    private final Path log;

    private Balancer(Process process, String address, Path log) {
        this.process = process;
        this.address = address;
        this.log = log;
    }

    /** Returns the command of that name in the deploy file. */
    static String command(Path root, String name) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith(name + " = \"")) {
                int from = line.indexOf('"') + 1;
                return line.substring(from, line.lastIndexOf('"'));
            }
        }
        throw new IOException("the deploy file has no " + name);
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** Starts a process; {@code config} is its configuration, {@code folder} is its TMPDIR. */
    static Balancer start(
            Path root, Path folder, String name, String listen, String config, Map<String, String> more)
            throws IOException {
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, config);
        Path log = folder.resolve(name + ".log");
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command(root, "run"));
        builder.directory(root.toFile());
        builder.environment().put("NODE_NAME", name);
        builder.environment().put("NODE_LISTEN", listen);
        builder.environment().put("NODE_CONFIG", file.toString());
        builder.environment().put("TMPDIR", folder.toString());
        builder.environment().putAll(more);
        builder.redirectErrorStream(true).redirectOutput(log.toFile());
        Balancer balancer = new Balancer(builder.start(), listen, log);
        Runtime.getRuntime().addShutdownHook(new Thread(balancer::close));
        return balancer;
    }

    long pid() {
        return process.pid();
    }

    Process process() {
        return process;
    }

    String address() {
        return address;
    }

    String log() throws IOException {
        return Files.readString(log);
    }

    /** Waits until the balancer is ready for clients. */
    boolean awaitReady(long millis) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (System.nanoTime() < end && process.isAlive()) {
            try (Socket socket = connect(address)) {
                socket.setSoTimeout(1_000);
                socket.getOutputStream()
                        .write(Http.ascii("GET /healthz HTTP/1.1\r\nHost: app.svc\r\n\r\n"));
                InputStream in = Http.buffered(socket.getInputStream());
                Http.Message answer = Http.read(in);
                if (answer != null && answer.status() == 200) {
                    return true;
                }
            } catch (IOException e) {
                // not listening yet
            }
            Discovery.pause(50);
        }
        return false;
    }

    static Socket connect(String address) throws IOException {
        String[] parts = address.split(":");
        Socket socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 2_000);
        return socket;
    }

    void signal(String name) throws IOException {
        try {
            new ProcessBuilder("kill", "-" + name, Long.toString(pid())).inheritIO().start().waitFor();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    @Override
    public void close() {
        process.destroyForcibly();
        try {
            process.waitFor();
        } catch (InterruptedException e) {
            // the process ends all the same
        }
    }

    /** The settings of a small deployment; the classes are given. */
    static String config(String listen, String discovery, String ops, int sockets, List<String> classes) {
        return String.format(
                """
                {"name":"n1","listen":"%s","discovery":"%s","ops":"%s","seed":"8c1f30d27a5be964",
                "limits":{"cores":1.0,"memory_mb":192,"sockets":%d},
                "known":{"version":0,"full":true,"servers":[]},
                "settings":{"az":0,"localities":["sala-nord","sala-sud"],"kinds":["fast","slow"],
                "position":0,"group-size":2,"classes":[%s],
                "parties":[{"name":"acme","share":1,"allowance-per-s":1000}],"over-share-worth":0.1,
                "ceilings":{"try-limit":3,"may-duplicate":true,"cancel":true,"probes":false,"peers":false,
                "max-open":20000,"retry-after":true,"max-retry-after-s":2,"connect-timeout-s":0.25,
                "conn-idle-s":30,"multiplex":1},
                "rules":{"answer-slack-s":0.02,"ask-within-s":10,"cold-s":9,"drain-grace-s":2,
                "fall-multiple":3,"fall-s":3,"start-capacity":0.3},
                "prices":{"cross-zone":0.01,"waste":0.035,"probe":0,"peer":0,"late-fail":0.03,"handshake":0.02},
                "report":{"names":["cpu","rps"],"via":"piggyback"},"weights":"rough",
                "discovery":"on_request","extra":{"warm-keys":true},"tick-s":0.005}}
                """,
                listen, discovery, ops, sockets, String.join(",", classes));
    }

    static final String LOOKUP =
            "{\"name\":\"disponibilita\",\"repeat\":\"free\",\"dedup-scope\":\"all\",\"memory-span-s\":5.0,"
                    + "\"aim-s\":1.2,\"give-up-s\":5.0,\"worth\":5,\"late-worth\":0.2,\"stream\":false}";
    static final String PUSH =
            "{\"name\":\"prenotazione\",\"repeat\":\"guarded\",\"dedup-scope\":\"all\",\"memory-span-s\":1.2,"
                    + "\"aim-s\":0.8,\"give-up-s\":2.0,\"worth\":15,\"late-worth\":0.2,\"stream\":false}";
    static final String ONCE =
            "{\"name\":\"conferma\",\"repeat\":\"single_shot\",\"dedup-scope\":\"all\",\"memory-span-s\":1.2,"
                    + "\"aim-s\":0.8,\"give-up-s\":2.0,\"worth\":15,\"late-worth\":0.2,\"stream\":false}";
}
