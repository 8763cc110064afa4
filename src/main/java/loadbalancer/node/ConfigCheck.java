package loadbalancer.node;

import java.io.IOException;
import java.nio.file.Path;
import loadbalancer.settings.InvalidInputException;

/** Looks at a configuration without starting a balancer on it. */
public final class ConfigCheck {
    private ConfigCheck() {}

    /** What the file says in a line; refused as a start or a reload would refuse it. */
    public static String describe(Path file) throws InvalidInputException {
        try {
            Config c = Config.read(file);
            return "listens at "
                    + c.listen()
                    + ", discovery at "
                    + c.discovery()
                    + ", operators at "
                    + c.ops()
                    + "; classes "
                    + String.join(", ", c.facts().classNames())
                    + "; "
                    + c.known().entries().size()
                    + " upstreams known";
        } catch (IOException e) {
            throw new InvalidInputException(
                    e instanceof java.nio.file.NoSuchFileException
                            ? "there is no such file"
                            : e.getMessage().lines().findFirst().orElse(e.toString()));
        }
    }
}
