package loadbalancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Holds the names that leave the process: {@code outer-names.txt} lists them, each under the
 * packages that read or write it. A rename that reaches one of them breaks stored data, peers of
 * another version or operators' tools, and fails here.
 */
class OuterNamesTest {
    private static final Path LIST = Path.of("src/test/resources/outer-names.txt");
    private static final Path SOURCES = Path.of("src/main/java/loadbalancer");
    private static final Path RESOURCES = Path.of("src/main/resources");
    private static final Pattern HEADING = Pattern.compile("\\[(.+) \\| (.+)\\]");
    private static final Pattern COMMENT =
            Pattern.compile("/\\*.*?\\*/|^\\s*//[^\n]*", Pattern.DOTALL | Pattern.MULTILINE);
    private static final Pattern LITERAL = Pattern.compile("\"((?:[^\"\\\\\n]|\\\\.)*)\"");
    private static final Pattern ENUM = Pattern.compile("\\benum \\w+[^{]*\\{");
    private static final Pattern ENUM_CONSTANT = Pattern.compile("\\b[A-Z][A-Z0-9_]*\\b");
    private static final Pattern RECORD = Pattern.compile("\\brecord \\w+(?:<[^>]*>)?\\s*\\(");
    private static final Pattern COMPONENT = Pattern.compile("\\b([a-z]\\w*)\\s*[,)]");
    private static final Pattern RESOURCE_WORD = Pattern.compile("\\w+");

    /** The names of one kind and the places that read or write them. */
    private record Section(String title, List<String> places, List<String> names) {
        @Override
        public String toString() {
            return title;
        }
    }

    static List<Section> sections() throws IOException {
        List<Section> sections = new ArrayList<>();
        for (String line : Files.readAllLines(LIST)) {
            Matcher heading = HEADING.matcher(line);
            if (heading.matches()) {
                List<String> places = List.of(heading.group(2).split(" "));
                sections.add(new Section(heading.group(1), places, new ArrayList<>()));
            } else if (!line.isEmpty()) {
                sections.get(sections.size() - 1).names().add(line);
            }
        }
        return sections;
    }

    private static Set<String> namesAt(Section section) throws IOException {
        Set<String> found = new HashSet<>();
        if (section.places().get(0).equals("resource")) {
            String text = Files.readString(RESOURCES.resolve(section.places().get(1)));
            addAll(found, RESOURCE_WORD, text);
            return found;
        }
        for (String place : section.places()) {
            for (Path file : javaFiles(SOURCES.resolve(place))) {
                String code = COMMENT.matcher(Files.readString(file)).replaceAll("");
                addNames(found, section.title(), code);
            }
        }
        return found;
    }

    private static List<Path> javaFiles(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.filter(file -> file.toString().endsWith(".java")).toList();
        }
    }

    private static void addNames(Set<String> found, String title, String code) {
        if (title.startsWith("enum constants ")) {
            String withoutLiterals = LITERAL.matcher(code).replaceAll("");
            Matcher enumType = ENUM.matcher(withoutLiterals);
            while (enumType.find()) {
                addAll(found, ENUM_CONSTANT, constants(withoutLiterals, enumType.end()));
            }
        } else if (title.startsWith("record components ")) {
            Matcher record = RECORD.matcher(code);
            while (record.find()) {
                addAll(found, COMPONENT, parameters(code, record.end()));
            }
        } else {
            addAll(found, LITERAL, code);
        }
    }

    /** The constants of the enum whose body starts at {@code start}, without their arguments. */
    private static String constants(String code, int start) {
        StringBuilder constants = new StringBuilder();
        int depth = 0;
        for (int at = start; depth >= 0; at++) {
            char character = code.charAt(at);
            if (character == ';' && depth == 0) {
                break;
            }
            depth += character == '(' || character == '{' ? 1 : 0;
            depth -= character == ')' || character == '}' ? 1 : 0;
            if (depth == 0) {
                constants.append(character);
            }
        }
        return constants.toString();
    }

    /** The text from {@code start} up to the parenthesis that closes the list, included. */
    private static String parameters(String code, int start) {
        int depth = 1;
        int end = start;
        while (depth > 0) {
            char character = code.charAt(end++);
            depth += character == '(' ? 1 : character == ')' ? -1 : 0;
        }
        return code.substring(start, end);
    }

    private static void addAll(Set<String> found, Pattern pattern, String text) {
        Matcher matcher = pattern.matcher(text);
        while (matcher.find()) {
            found.add(matcher.group(matcher.groupCount()));
        }
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("sections")
    void sourcesContainEveryListedName(Section section) throws IOException {
        List<String> missing = new ArrayList<>(section.names());
        missing.removeAll(namesAt(section));
        assertFalse(section.names().isEmpty(), "no names under " + section);
        assertEquals(List.of(), missing, "names that are neither read nor written: " + section);
    }
}
