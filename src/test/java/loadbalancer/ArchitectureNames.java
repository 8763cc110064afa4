package loadbalancer;

import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Names of types and packages for architecture rules. A rule that names something by text would
 * hold for ever once that is renamed; here a name that no longer exists fails when the rule is
 * built.
 */
final class ArchitectureNames {
    private static final Path SOURCES = Path.of("src/main/java");
    private static final String ANY_BELOW = "..";

    private ArchitectureNames() {}

    /** The given full name of a type of the program. */
    static String type(String fullName) {
        try {
            Class.forName(fullName, false, ArchitectureNames.class.getClassLoader());
            return fullName;
        } catch (ClassNotFoundException e) {
            throw new IllegalArgumentException(
                    "an architecture rule names a type that does not exist: " + fullName, e);
        }
    }

    /** A pattern that matches a type and the types nested in it. */
    static String withNested(String fullName) {
        return type(fullName).replace(".", "\\.") + "(\\$.*)?";
    }

    /** Package identifiers as ArchUnit takes them; those of the program have to exist. */
    static String[] packages(String... identifiers) {
        for (String identifier : identifiers) {
            requirePackage(identifier);
        }
        return identifiers;
    }

    private static void requirePackage(String identifier) {
        String name =
                identifier.endsWith(ANY_BELOW)
                        ? identifier.substring(0, identifier.length() - ANY_BELOW.length())
                        : identifier;
        boolean own = name.equals("loadbalancer") || name.startsWith("loadbalancer.");
        if (own && !Files.isDirectory(SOURCES.resolve(name.replace('.', '/')))) {
            throw new IllegalArgumentException(
                    "an architecture rule names a package that does not exist: " + name);
        }
    }
}
