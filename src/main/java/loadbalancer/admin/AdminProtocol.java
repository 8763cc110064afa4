package loadbalancer.admin;

/**
 * Commands and responses of the admin endpoint's line protocol. A client sends one command per
 * connection and reads the response up to the end of the stream. Stateless and thread-safe.
 */
public final class AdminProtocol {
    /** Command that queries whether the process is ready to serve. */
    public static final String READY_COMMAND = "READY";

    /** Command that queries the metrics of the process; the response has one metric per line. */
    public static final String STATS_COMMAND = "STATS";

    /** First word of the response to a successful command. */
    public static final String SUCCESS = "SUCCESS";

    /** First word of the response to a failed command or an invalid line; a reason follows. */
    public static final String FAILURE = "FAILURE";

    /** Last line of the response to {@link #STATS_COMMAND}. */
    public static final String END_OF_RESPONSE = "EOT";

    private AdminProtocol() {}

    /** Returns the one-line response to a successful command. */
    static String success(String detail) {
        return SUCCESS + " " + detail + "\n";
    }

    /** Returns the one-line response to a failed command or an invalid line. */
    static String failure(String reason) {
        return FAILURE + " " + reason + "\n";
    }
}
