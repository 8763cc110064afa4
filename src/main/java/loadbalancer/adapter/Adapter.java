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
 * The simulator's adapter: reads batches of events from standard input, one a line, and writes a
 * reply with the actions for each. One thread; the only clock is that of the batches.
 */
public final class Adapter {
    /** Exit code at the end of input. */
    private static final int EXIT_OK = 0;

    private static final int EXIT_INVALID_INPUT = 1;
    private static final int EXIT_USAGE = 2;
    private static final int OUTPUT_BUFFER_BYTES = 1 << 16;

    private Adapter() {}

    /** Creates the load balancer of an instance. */
    public interface InstanceFactory {
        /** Returns a new load balancer. */
        LoadBalancer create(LoadBalancerSettings settings, long seed, LoadBalancerActions actions);
    }

    /**
     * Runs until the end of input.
     *
     * @return the exit code: 0, 1 after invalid input, 2 after a wrong command line
     */
    public static int run(String[] args, InputStream in, OutputStream stdout, PrintStream err) {
        if (args.length != 1 || !args[0].equals("adapter")) {
            err.println("usage: java -jar load-balancer.jar adapter");
            return EXIT_USAGE;
        }
        return run(ReweightingLoadBalancer::new, in, stdout, err);
    }

    /**
     * Runs another load balancer until the end of input.
     *
     * @return the exit code: 0, or 1 after invalid input
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
