package loadbalancer.fleet;

/**
 * Constants of the format of a {@link MemberStateFile}. They must not change, since files written
 * by earlier versions are still read.
 */
final class MemberStateFieldNames {
    static final String MAGIC = "yewyoke-fleet";
    static final String FILE_SUFFIX = ".fleet";
    static final int FORMAT_VERSION = 1;

    // The version number of a stored document identifies what the document contains.
    static final int DURABLE_DOCUMENT = 1;
    static final int RECORD = 2;
    static final int INCARNATION = 3;

    /** Topic of the document that stores the incarnation. */
    static final String INCARNATION_TOPIC = "generation";

    private MemberStateFieldNames() {}
}
