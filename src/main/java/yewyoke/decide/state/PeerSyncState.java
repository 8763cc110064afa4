package yewyoke.decide.state;

import java.util.List;

/** What peer sync keeps of an upstream. */
public final class PeerSyncState {
    /** The other balancers that use it, null if that is to be worked out. */
    public List<Integer> sharers;
}
