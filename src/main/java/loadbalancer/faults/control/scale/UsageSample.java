package loadbalancer.faults.control.scale;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.faults.process.peer.RealTime;

/** Processor time and memory of all processes at one moment. */
final class UsageSample {
    private static final double PERCENT = 100.0;
    private static final double MEGABYTE = 1 << 20;

    private final long micros = RealTime.micros();
    private final ProcessFigures writer;
    private final List<ProcessFigures> followers;
    private final List<ProcessFigures> hollow;
    private final int subscribers;

    UsageSample(ControlCluster cluster, HollowFleet fleet, int subscribers) {
        writer = cluster.writerFigures();
        followers = cluster.followerFigures();
        hollow = fleet.groups().stream().map(HollowGroup::figures).toList();
        this.subscribers = subscribers;
    }

    /** What was spent since an earlier sample of the same processes, and what is held now. */
    List<Measurement> since(UsageSample before) {
        double elapsed = micros - before.micros;
        List<Measurement> measurements = new ArrayList<>();
        measurements.add(
                new Measurement(
                        "processor_writer",
                        PERCENT
                                * (writer.processorMicros() - before.writer.processorMicros())
                                / elapsed,
                        "percent"));
        measurements.add(
                new Measurement(
                        "processor_follower",
                        PERCENT * (mean(followers) - mean(before.followers)) / elapsed,
                        "percent"));
        measurements.add(
                new Measurement(
                        "processor_subscriber",
                        PERCENT * (sum(hollow) - sum(before.hollow)) / elapsed / subscribers,
                        "percent"));
        measurements.add(
                new Measurement("resident_writer", writer.residentBytes() / MEGABYTE, "MB"));
        long largestFollower =
                followers.stream().mapToLong(ProcessFigures::residentBytes).max().orElse(0);
        measurements.add(new Measurement("resident_follower", largestFollower / MEGABYTE, "MB"));
        long allHollow = hollow.stream().mapToLong(ProcessFigures::residentBytes).sum();
        measurements.add(
                new Measurement("resident_subscriber", allHollow / MEGABYTE / subscribers, "MB"));
        measurements.add(new Measurement("peak_resident_all", peak() / MEGABYTE, "MB"));
        return measurements;
    }

    private double peak() {
        return writer.peakResidentBytes()
                + followers.stream().mapToLong(ProcessFigures::peakResidentBytes).sum()
                + hollow.stream().mapToLong(ProcessFigures::peakResidentBytes).sum();
    }

    private static double sum(List<ProcessFigures> figures) {
        return figures.stream().mapToLong(ProcessFigures::processorMicros).sum();
    }

    private static double mean(List<ProcessFigures> figures) {
        return sum(figures) / figures.size();
    }
}
