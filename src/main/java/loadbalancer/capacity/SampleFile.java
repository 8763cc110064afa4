package loadbalancer.capacity;

import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;
import org.apache.commons.csv.CSVRecord;

/** Samples as a CSV file, one row each, with a comment on top that says how they came about. */
public final class SampleFile {
    private static final CSVFormat FORMAT =
            CSVFormat.DEFAULT
                    .builder()
                    .setRecordSeparator('\n')
                    .setCommentMarker('#')
                    .setHeader("measurement", "dimension", "size", "repetition", "value", "unit")
                    .setSkipHeaderRecord(true)
                    .get();

    private SampleFile() {}

    /** All samples of a file. */
    public static List<Sample> read(Path file) throws IOException {
        List<Sample> samples = new ArrayList<>();
        try (BufferedReader in = Files.newBufferedReader(file)) {
            for (CSVRecord row : FORMAT.parse(in)) {
                samples.add(sample(row));
            }
        } catch (IllegalArgumentException e) {
            throw new IOException(file.getFileName() + ": " + e.getMessage(), e);
        }
        return samples;
    }

    private static Sample sample(CSVRecord row) {
        return new Sample(
                row.get("measurement"),
                row.get("dimension"),
                Double.parseDouble(row.get("size")),
                Integer.parseInt(row.get("repetition")),
                Double.parseDouble(row.get("value")),
                row.get("unit"));
    }

    /** Writes a file anew. */
    public static void write(Path file, String comment, List<Sample> samples) throws IOException {
        try (BufferedWriter out = Files.newBufferedWriter(file)) {
            for (String line : comment.lines().toList()) {
                out.write("# " + line + '\n');
            }
            CSVPrinter printer =
                    new CSVPrinter(out, FORMAT.builder().setSkipHeaderRecord(false).get());
            for (Sample sample : samples) {
                printer.printRecord(
                        sample.measurement(),
                        sample.dimension(),
                        plain(sample.size()),
                        sample.repetition(),
                        plain(sample.value()),
                        sample.unit());
            }
        }
    }

    /** Whole numbers without a fraction, others with the digits that make them exact. */
    private static String plain(double value) {
        boolean whole = value == Math.rint(value) && Math.abs(value) < 1e15;
        return whole ? Long.toString((long) value) : Double.toString(value);
    }
}
