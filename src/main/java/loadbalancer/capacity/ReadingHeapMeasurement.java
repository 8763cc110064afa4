package loadbalancer.capacity;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.node.Config;

/**
 * The least heap with which {@code check} reads a configuration, found by halving, each try a
 * process.
 */
final class ReadingHeapMeasurement implements Measurement {
    private static final int LEAST_MB = 4;
    private static final int MOST_MB = 256;

    /** The answer is exact to this part of itself. */
    private static final double ACCURACY = 0.07;

    private static final int LIMIT_SECONDS = 20;
    private static final int FEW_UPSTREAMS = 12;
    private static final int FEW_TENANTS = 1;

    private final String dimension;
    private final int[] sizes;

    ReadingHeapMeasurement(String dimension, int... sizes) {
        this.dimension = dimension;
        this.sizes = sizes.clone();
    }

    @Override
    public String description() {
        return "least heap to read a configuration, by " + dimension;
    }

    @Override
    public void run(Recorder recorder) throws Exception {
        Path folder = Files.createTempDirectory("load-balancer-capacity");
        for (int size : sizes) {
            boolean byUpstreams = dimension.equals("upstreams");
            Path file = folder.resolve(size + ".json");
            Files.write(
                    file,
                    new ConfigurationText(
                                    byUpstreams ? size : FEW_UPSTREAMS,
                                    byUpstreams ? FEW_TENANTS : size)
                            .bytes());
            recorder.add("reading.least_heap", dimension, size, leastHeap(file), "MB");
        }
    }

    private static int leastHeap(Path file) throws Exception {
        int tooSmall = LEAST_MB - 1;
        int enough = MOST_MB;
        while (enough - tooSmall > Math.max(1, ACCURACY * enough)) {
            int middle = (enough + tooSmall) / 2;
            if (reads(file, middle)) {
                enough = middle;
            } else {
                tooSmall = middle;
            }
        }
        return enough;
    }

    private static boolean reads(Path file, int megabytes) throws Exception {
        Process process =
                new ProcessBuilder(
                                List.of(
                                        "java",
                                        "-XX:+UseSerialGC",
                                        "-XX:TieredStopAtLevel=1",
                                        "-Xmx" + megabytes + "m",
                                        "-jar",
                                        jar().toString(),
                                        "check",
                                        file.toString()))
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                        .start();
        if (!process.waitFor(LIMIT_SECONDS, TimeUnit.SECONDS)) {
            process.destroyForcibly().waitFor();
            return false;
        }
        return process.exitValue() == 0;
    }

    private static Path jar() throws URISyntaxException, IOException {
        Path jar =
                Path.of(Config.class.getProtectionDomain().getCodeSource().getLocation().toURI());
        if (!Files.isRegularFile(jar)) {
            throw new IOException("run this from the program's jar");
        }
        return jar;
    }
}
