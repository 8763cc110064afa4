package yewyoke.lab.sim;

import yewyoke.lab.rival.Contender;
import yewyoke.lab.rival.Truth;

/** What all balancers of one world share. {@code stopwatch} is null where nothing is timed. */
record Fabric(Agenda agenda, Streams streams, Contender contender, Truth truth, Gateway.Surroundings around,
        Network network, Registry registry, Tally tally, Stopwatch stopwatch) {}
