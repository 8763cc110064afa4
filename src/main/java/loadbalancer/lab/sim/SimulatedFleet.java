package loadbalancer.lab.sim;

import loadbalancer.lab.baseline.BalancerUnderTest;
import loadbalancer.lab.baseline.TrueServerState;

/** What all balancers of one world share. {@code stopwatch} is null where nothing is timed. */
record SimulatedFleet(
        EventQueue agenda,
        Streams streams,
        BalancerUnderTest contender,
        TrueServerState truth,
        Gateway.Surroundings around,
        Network network,
        Registry registry,
        Tally tally,
        Stopwatch stopwatch) {}
