import java.nio.file.Path;

/**
 * What a case plays: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. The program
 * ends with 20 more than that, so that its script tells these from a virtual machine that failed.
 */
interface Scenario {
    int EXIT_CODES = 20;

    /** Plays the scenario; {@code root} is the repository, {@code folder} an empty folder. */
    int play(Path root, Path folder, Record record, boolean hasTrouble) throws Exception;

    /** Runs a scenario with the arguments of its program: root, folder, record file. */
    static void run(String[] args, Scenario scenario) {
        int code = 2;
        try (Record record = new Record(Path.of(args[2]))) {
            code =
                    scenario.play(
                            Path.of(args[0]),
                            Path.of(args[1]),
                            record,
                            !"0".equals(System.getenv("TROUBLE")));
        } catch (Exception | Error e) {
            System.err.println("the case couldn't run: " + e);
        }
        System.exit(EXIT_CODES + code);
    }
}
