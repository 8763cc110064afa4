package loadbalancer.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import loadbalancer.capacity.Fit.Form;

/**
 * Arithmetic over numbers, earlier figures by their ids, and functions of samples. The functions
 * are {@code mean} and {@code worst} of measurement, dimension and size; {@code slope}, {@code
 * intercept}, {@code exponent}, {@code linear_residual} and {@code power_residual} of measurement
 * and dimension; {@code linear} and {@code power} of measurement, dimension and any size, with
 * {@code extrapolated_linear} and {@code extrapolated_power} for sizes far beyond; {@code ceil},
 * {@code min}, {@code max}.
 */
final class Formula {
    private static final Pattern TOKEN =
            Pattern.compile(
                    "\\s*(?:([0-9]+(?:\\.[0-9]+)?(?:e-?[0-9]+)?)|([a-z][a-z0-9_.]*)|([-+*/(),]))");

    private final List<String> tokens = new ArrayList<>();
    private final Samples samples;
    private final Map<String, Double> known;
    private int place;

    private Formula(String text, Samples samples, Map<String, Double> known) {
        this.samples = samples;
        this.known = known;
        Matcher matcher = TOKEN.matcher(text);
        int end = 0;
        while (matcher.find() && matcher.start() == end) {
            tokens.add(matcher.group().trim());
            end = matcher.end();
        }
        if (!text.substring(end).isBlank()) {
            throw new BadPage("not understood: " + text.substring(end).trim());
        }
    }

    /** The value of a formula, over these samples and the figures known so far. */
    static double evaluate(String text, Samples samples, Map<String, Double> known) {
        Formula formula = new Formula(text, samples, known);
        double value = formula.sum();
        if (formula.place < formula.tokens.size()) {
            throw new BadPage("not understood from here on: " + formula.next());
        }
        return value;
    }

    private double sum() {
        double value = product();
        while (peek().equals("+") || peek().equals("-")) {
            value = next().equals("+") ? value + product() : value - product();
        }
        return value;
    }

    private double product() {
        double value = factor();
        while (peek().equals("*") || peek().equals("/")) {
            value = next().equals("*") ? value * factor() : value / factor();
        }
        return value;
    }

    private double factor() {
        String token = next();
        if (token.equals("-")) {
            return -factor();
        }
        if (token.equals("(")) {
            double value = sum();
            expect(")");
            return value;
        }
        if (Character.isDigit(token.charAt(0))) {
            return Double.parseDouble(token);
        }
        return peek().equals("(") ? call(token) : figure(token);
    }

    private double figure(String id) {
        if (!known.containsKey(id)) {
            throw new BadPage("no figure above has the id " + id);
        }
        return known.get(id);
    }

    private double call(String function) {
        expect("(");
        double value =
                switch (function) {
                    case "ceil" -> Math.ceil(sum());
                    case "min" -> Math.min(sum(), second());
                    case "max" -> Math.max(sum(), second());
                    default -> measured(function);
                };
        expect(")");
        return value;
    }

    private double second() {
        expect(",");
        return sum();
    }

    private double measured(String function) {
        String measurement = next();
        expect(",");
        String dimension = next();
        return switch (function) {
            case "mean" -> samples.mean(measurement, dimension, second());
            case "worst" -> samples.worst(measurement, dimension, second());
            case "slope" -> samples.fit(Form.LINEAR, measurement, dimension).slope();
            case "intercept" -> samples.fit(Form.LINEAR, measurement, dimension).intercept();
            case "exponent" -> samples.fit(Form.POWER, measurement, dimension).slope();
            case "linear_residual" -> samples.fit(Form.LINEAR, measurement, dimension).residual();
            case "power_residual" -> samples.fit(Form.POWER, measurement, dimension).residual();
            case "linear" -> samples.fit(Form.LINEAR, measurement, dimension).at(second());
            case "power" -> samples.fit(Form.POWER, measurement, dimension).at(second());
            case "extrapolated_linear" ->
                    samples.fit(Form.LINEAR, measurement, dimension).extrapolated(second());
            case "extrapolated_power" ->
                    samples.fit(Form.POWER, measurement, dimension).extrapolated(second());
            default -> throw new BadPage("no function has the name " + function);
        };
    }

    private String peek() {
        return place < tokens.size() ? tokens.get(place) : "";
    }

    private String next() {
        if (place == tokens.size()) {
            throw new BadPage("the formula ends too early");
        }
        return tokens.get(place++);
    }

    private void expect(String token) {
        String found = next();
        if (!found.equals(token)) {
            throw new BadPage("expected " + token + " in place of " + found);
        }
    }
}
