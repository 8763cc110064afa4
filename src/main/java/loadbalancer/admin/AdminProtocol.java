package loadbalancer.admin;

/**
 * The words of the admin endpoint's line protocol. A client sends one command on a connection and
 * reads the response up to the end of the stream. Constants only; for any thread.
 */
public final class AdminProtocol {
    /** Command: whether the process is ready to serve. */
    public static final String READY_COMMAND = "READY";

    /** Command: the process's metrics, one a line. */
    public static final String STATS_COMMAND = "STATS";

    /** First word of the response to a command that was carried out. */
    public static final String SUCCESS = "SUCCESS";

    /** First word of the response to any other line; a reason follows. */
    public static final String FAILURE = "FAILURE";

    /** Last line of the response to {@link #STATS_COMMAND}. */
    public static final String END_OF_RESPONSE = "EOT";

    private AdminProtocol() {}

    /** The one-line response to a command that was carried out. */
    static String success(String detail) {
        return SUCCESS + " " + detail + "\n";
    }

    /** The one-line response to a command or line that was not carried out. */
    static String failure(String reason) {
        return FAILURE + " " + reason + "\n";
    }
}
