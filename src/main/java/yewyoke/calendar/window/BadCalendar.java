package yewyoke.calendar.window;

/** A calendar that can't be used; the message is one line with place and reason. */
public final class BadCalendar extends Exception {
    private static final long serialVersionUID = 1;

    BadCalendar(String place, String reason) {
        super(place + ": " + reason);
    }
}
