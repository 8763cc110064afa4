package yewyoke.decide.state;

import java.util.List;

/** What telling keeps of an upstream. */
public final class TellingState {
    /** The other balancers that use it, null if that is to be worked out. */
    public List<Integer> sharers;
}
