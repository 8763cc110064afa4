package loadbalancer.capacity;

import java.util.ArrayList;
import java.util.List;

/** Collects the samples of one repetition after another. */
public final class Recorder {
    private final List<Sample> samples;
    private int repetition;

    /** Adds to what was recorded earlier, with none of it to begin with. */
    public Recorder(List<Sample> earlier) {
        samples = new ArrayList<>(earlier);
        repetition = earlier.stream().mapToInt(Sample::repetition).max().orElse(0);
    }

    /** What is added from now on belongs to the next repetition. */
    public void nextRepetition() {
        repetition++;
    }

    /** Adds a value. */
    public void add(String measurement, String dimension, double size, double value, String unit) {
        samples.add(new Sample(measurement, dimension, size, repetition, value, unit));
    }

    /** Which repetition it is, from 1. */
    public int repetition() {
        return repetition;
    }

    /** All so far. */
    public List<Sample> samples() {
        return List.copyOf(samples);
    }
}
