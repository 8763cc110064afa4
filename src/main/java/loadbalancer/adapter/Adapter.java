package loadbalancer.adapter;

import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import loadbalancer.LoadBalancer;
import loadbalancer.LoadBalancerActions;
import loadbalancer.LoadBalancerSettings;
import loadbalancer.ReweightingLoadBalancer;
import loadbalancer.settings.InvalidInputException;

/**
 * Connects load balancer instances to the platform's simulator. Reads one batch of events per line
 * from standard input and writes one reply with the resulting actions per batch. Single-threaded;
 * the only clock is the time in the batches.
 */
public final class Adapter {
    /** Exit code at the end of input. */
    private static final int EXIT_OK = 0;

    private static final int EXIT_INVALID_INPUT = 1;
    private static final int EXIT_USAGE = 2;
    private static final int OUTPUT_BUFFER_BYTES = 1 << 16;

    private Adapter() {}

    /** Factory of the load balancer instances. */
    public interface InstanceFactory {
        /**
         * Creates a load balancer.
         *
         * @param actions receiver of the load balancer's actions
         */
        LoadBalancer create(LoadBalancerSettings settings, long seed, LoadBalancerActions actions);
    }

    /**
     * Runs the adapter with the program's own load balancer until the end of input.
     *
     * @return the exit code: 0 at the end of input, 1 after invalid input or an I/O error, 2 for an
     *     invalid command line
     */
    public static int run(String[] args, InputStream in, OutputStream stdout, PrintStream err) {
        if (args.length != 1 || !args[0].equals("adapter")) {
            err.println("usage: java -jar load-balancer.jar adapter");
            return EXIT_USAGE;
        }
        return run(ReweightingLoadBalancer::new, in, stdout, err);
    }

    /**
     * Runs the adapter with load balancers of a factory until the end of input.
     *
     * @return the exit code: 0 at the end of input, 1 after invalid input or an I/O error
     */
    public static int run(
            InstanceFactory factory, InputStream in, OutputStream stdout, PrintStream err) {
        ReplyWriter reply = new ReplyWriter();
        Instances instances = new Instances(factory, reply);
        BatchProcessor batches = new BatchProcessor(new EventHandler(instances, err), reply);
        long lineNumber = 0;
        try (OutputStream out = new BufferedOutputStream(stdout, OUTPUT_BUFFER_BYTES)) {
            LineReader lines = new LineReader(in);
            while (lines.next()) {
                lineNumber++;
                ByteArrayOutputStream bytes = batches.process(lines.bytes(), lines.length());
                bytes.writeTo(out);
                out.flush();
            }
            return EXIT_OK;
        } catch (InvalidInputException | IOException e) {
            err.println("line " + Math.max(lineNumber, 1) + ": " + e.getMessage());
            return EXIT_INVALID_INPUT;
        }
    }
}
