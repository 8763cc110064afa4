package loadbalancer.schedule.window;

import java.time.DayOfWeek;
import java.time.LocalDate;
import java.time.LocalDateTime;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.time.temporal.ChronoUnit;
import java.time.temporal.TemporalAdjusters;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** A random window whose occurrences are determined by testing each hour. */
final class BruteForceWindow {
    private static final List<String> ZONES =
            List.of(
                    "Europe/Vienna",
                    "America/New_York",
                    "Australia/Lord_Howe",
                    "Pacific/Apia",
                    "Asia/Kathmandu",
                    "UTC");
    private static final int DAYS = 420;

    final LocalDateTime start;
    final ZoneId zone;
    final String frequency;
    final int interval;
    final int count;
    final List<Integer> months = new ArrayList<>();
    final List<Integer> monthDays = new ArrayList<>();
    final List<Integer> hours = new ArrayList<>();
    final List<DayOfWeek> days = new ArrayList<>();
    final LocalDateTime until;
    final List<LocalDate> except = new ArrayList<>();
    final long length;
    final long ramp;
    final double factor;
    final int priority;
    final String kind;
    final List<Long> starts = new ArrayList<>();

    BruteForceWindow(SplittableRandom random, int priority) {
        this.priority = priority;
        int year = random.nextBoolean() ? 2011 : 2026;
        start = LocalDateTime.of(year, 1, 1, 0, 0).plusMinutes(random.nextInt(500_000));
        zone = ZoneId.of(ZONES.get(random.nextInt(ZONES.size())));
        frequency =
                List.of("HOURLY", "DAILY", "WEEKLY", "MONTHLY", "YEARLY").get(random.nextInt(5));
        interval = frequency.equals("YEARLY") ? 1 : 1 + random.nextInt(4);
        count = random.nextInt(4) == 0 ? 1 + random.nextInt(40) : 0;
        until =
                count == 0 && random.nextInt(4) == 0
                        ? start.plusMinutes(random.nextInt(400_000))
                        : null;
        addRandomParts(random);
        length = 10 + random.nextInt(random.nextBoolean() ? 100 : 300_000);
        ramp = random.nextBoolean() ? 0 : random.nextLong(Math.min(length / 2, 3_600) + 1);
        factor = 0.1 + random.nextInt(50) / 10.0;
        kind = List.of("", "big", "small").get(random.nextInt(3));
        findOccurrences();
    }

    private void addRandomParts(SplittableRandom random) {
        if (random.nextInt(4) == 0 && !frequency.equals("WEEKLY")) {
            monthDays.addAll(
                    random.nextBoolean()
                            ? List.of(29, 30, 31)
                            : List.of(-1, 1 + random.nextInt(28)));
        }
        if (random.nextInt(3) == 0) {
            days.addAll(
                    List.of(
                            DayOfWeek.of(1 + random.nextInt(3)),
                            DayOfWeek.of(4 + random.nextInt(4))));
        }
        if (random.nextInt(3) == 0 && !frequency.equals("HOURLY")) {
            hours.addAll(List.of(random.nextInt(4), 4 + random.nextInt(20)));
        }
        boolean needed = frequency.equals("YEARLY") && !monthDays.isEmpty();
        if (needed || random.nextInt(4) == 0 && !frequency.equals("HOURLY")) {
            months.addAll(List.of(1 + random.nextInt(5), 6 + random.nextInt(7)));
        }
        if (random.nextInt(3) == 0) {
            except.addAll(
                    List.of(start.toLocalDate(), start.toLocalDate().plusDays(random.nextInt(40))));
        }
    }

    private void findOccurrences() {
        int left = count == 0 ? Integer.MAX_VALUE : count;
        for (int hour = 0; hour < DAYS * 24 && left > 0; hour++) {
            LocalDateTime time = start.plusHours(hour);
            if (!matchesRule(time) || until != null && time.isAfter(until)) {
                continue;
            }
            left--;
            if (except.contains(time.toLocalDate())) {
                continue;
            }
            var valid = zone.getRules().getValidOffsets(time);
            ZoneOffset offset =
                    valid.isEmpty()
                            ? zone.getRules().getTransition(time).getOffsetBefore()
                            : valid.get(0);
            starts.add(time.toEpochSecond(offset) * 1_000_000);
        }
    }

    private boolean matchesRule(LocalDateTime time) {
        LocalDate date = time.toLocalDate();
        LocalDate first = start.toLocalDate();
        boolean byDay = !days.isEmpty() || !monthDays.isEmpty();
        long periods =
                switch (frequency) {
                    case "HOURLY" -> ChronoUnit.HOURS.between(start, time);
                    case "DAILY" -> ChronoUnit.DAYS.between(first, date);
                    case "WEEKLY" ->
                            ChronoUnit.WEEKS.between(
                                    first.with(TemporalAdjusters.previousOrSame(DayOfWeek.MONDAY)),
                                    date);
                    case "MONTHLY" -> ChronoUnit.MONTHS.between(first.withDayOfMonth(1), date);
                    default -> 0;
                };
        boolean day =
                switch (frequency) {
                    case "WEEKLY" -> byDay || date.getDayOfWeek() == first.getDayOfWeek();
                    case "MONTHLY" -> byDay || date.getDayOfMonth() == first.getDayOfMonth();
                    case "YEARLY" ->
                            byDay
                                    || date.getDayOfMonth() == first.getDayOfMonth()
                                            && (!months.isEmpty()
                                                    || date.getMonth() == first.getMonth());
                    default -> true;
                };
        boolean hour =
                frequency.equals("HOURLY")
                        || (hours.isEmpty()
                                ? time.getHour() == start.getHour()
                                : hours.contains(time.getHour()));
        return periods % interval == 0
                && day
                && hour
                && (months.isEmpty() || months.contains(time.getMonthValue()))
                && (days.isEmpty() || days.contains(date.getDayOfWeek()))
                && (monthDays.isEmpty()
                        || monthDays.contains(date.getDayOfMonth())
                        || monthDays.contains(-1) && date.getDayOfMonth() == date.lengthOfMonth());
    }

    /** Returns the ramp fraction, from whole seconds since each start and before each end. */
    double rampFraction(long instant) {
        double fraction = 0;
        for (long occurrence : starts) {
            long end = occurrence + length * 1_000_000;
            if (instant < occurrence || instant >= end) {
                continue;
            }
            double in = Math.floor((instant - occurrence) / 1e6);
            double out = Math.ceil((end - instant) / 1e6);
            fraction = Math.max(fraction, ramp == 0 ? 1 : Math.min(1, Math.min(in, out) / ramp));
        }
        return fraction;
    }

    String toml(String name) {
        StringBuilder rule = new StringBuilder("FREQ=" + frequency + ";INTERVAL=" + interval);
        rule.append(count > 0 ? ";COUNT=" + count : "");
        rule.append(
                until == null ? "" : ";UNTIL=" + until.toString().replaceAll("[-:]", "") + "00");
        rule.append(by("BYMONTH", months))
                .append(by("BYMONTHDAY", monthDays))
                .append(by("BYHOUR", hours));
        rule.append(by("BYDAY", days.stream().map(day -> day.name().substring(0, 2)).toList()));
        return "[[window]]\nname = \""
                + name
                + "\"\nstart = "
                + start
                + ":00\nzone = \""
                + zone
                + "\"\nrrule = \""
                + rule
                + "\"\nlength = \"PT"
                + length
                + "S\"\nramp = "
                + ramp
                + "\nfactor = "
                + factor
                + "\npriority = "
                + priority
                + (except.isEmpty() ? "" : "\nexcept = " + except)
                + "\ntarget = {"
                + (kind.isEmpty() ? "" : "kind = \"" + kind + "\"")
                + "}\n";
    }

    private static String by(String part, List<?> values) {
        return values.isEmpty()
                ? ""
                : ";"
                        + part
                        + "="
                        + String.join(",", values.stream().map(Object::toString).toList());
    }
}
