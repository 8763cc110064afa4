package yewyoke.capacity;

import java.util.ArrayList;
import java.util.List;

/** Collects the samples of one repetition after another. */
public final class Recorder {
    private final List<Sample> samples = new ArrayList<>();
    private int repetition;

    /** What is added from now on belongs to this repetition. */
    public void begin(int number) {
        repetition = number;
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
