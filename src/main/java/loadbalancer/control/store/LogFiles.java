package loadbalancer.control.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import loadbalancer.control.model.Revision;

/** Names, lists, replaces and deletes the files of a log. */
final class LogFiles {
    private static final Pattern SEGMENT = Pattern.compile("changes-(\\d{1,18}\\.\\d{1,18})\\.log");
    private static final Pattern SNAPSHOT =
            Pattern.compile("snapshot-(\\d{1,18}\\.\\d{1,18})\\.state");
    private static final String TEMPORARY_SUFFIX = ".tmp";

    private final LogDirectory directory;

    /** A file name and the revision that it contains. */
    record NamedFile(String name, Revision revision) {}

    LogFiles(LogDirectory directory) {
        this.directory = directory;
    }

    static String segment(Revision first) {
        return "changes-" + first + ".log";
    }

    static String snapshot(Revision revision) {
        return "snapshot-" + revision + ".state";
    }

    /** Returns all segments, oldest first. */
    List<NamedFile> segments() throws IOException {
        return matching(SEGMENT);
    }

    /** Returns all snapshots, oldest first. */
    List<NamedFile> snapshots() throws IOException {
        return matching(SNAPSHOT);
    }

    private List<NamedFile> matching(Pattern pattern) throws IOException {
        List<NamedFile> files = new ArrayList<>();
        for (String name : directory.list()) {
            Matcher matcher = pattern.matcher(name);
            if (matcher.matches()) {
                files.add(new NamedFile(name, Revision.parse(matcher.group(1))));
            }
        }
        files.sort(Comparator.comparing(NamedFile::revision));
        return files;
    }

    /**
     * Writes a file under a temporary name, forces it and renames it. After a crash either the old
     * or the new file is present.
     */
    void replace(String name, byte[] bytes) throws IOException {
        String temporary = name + TEMPORARY_SUFFIX;
        try (LogDirectory.LogFile file = directory.create(temporary)) {
            file.write(bytes);
            file.force();
        }
        directory.rename(temporary, name);
        directory.force();
    }

    /** Deletes temporary files of calls of {@link #replace} that a crash interrupted. */
    void deleteTemporary() throws IOException {
        for (String name : directory.list()) {
            if (name.endsWith(TEMPORARY_SUFFIX)) {
                directory.delete(name);
            }
        }
    }

    /**
     * Deletes the files that a snapshot replaces: older snapshots, and all segments that begin at
     * or before its revision. These segments contain no later changes, because every compaction
     * ends the current segment.
     */
    void deleteCompacted(Revision snapshot) throws IOException {
        for (NamedFile older : snapshots()) {
            if (snapshot.isAfter(older.revision())) {
                directory.delete(older.name());
            }
        }
        for (NamedFile segment : segments()) {
            if (!segment.revision().isAfter(snapshot)) {
                directory.delete(segment.name());
            }
        }
    }
}
