package yewyoke.faults.process.check;

/**
 * One attempt that reached an upstream whole.
 *
 * @param unseen whether the upstream turned it away without running it
 */
public record Ran(String id, String upstream, String key, long at, boolean unseen) {}
