package loadbalancer.knownred;

import java.lang.reflect.Method;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.extension.AfterAllCallback;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.junit.jupiter.api.extension.InvocationInterceptor;
import org.junit.jupiter.api.extension.ReflectiveInvocationContext;
import org.opentest4j.TestAbortedException;

/**
 * Passes over the tests that {@link KnownRed} lists, and says so. One that is listed and passes
 * fails: its line is to go. Of a test with several rows at least one must fail.
 */
public final class KnownRedExtension implements InvocationInterceptor, AfterAllCallback {
    private final KnownRed list;

    /** Of the listed tests that have run: whether any run failed. */
    private final Map<KnownRed.Entry, Boolean> failed = new ConcurrentHashMap<>();

    /** With the list of the project. */
    public KnownRedExtension() {
        this(KnownRed.read());
    }

    KnownRedExtension(KnownRed list) {
        this.list = list;
    }

    @Override
    public void interceptTestMethod(
            Invocation<Void> test,
            ReflectiveInvocationContext<Method> invoked,
            ExtensionContext context)
            throws Throwable {
        run(test, context);
    }

    @Override
    public void interceptTestTemplateMethod(
            Invocation<Void> test,
            ReflectiveInvocationContext<Method> invoked,
            ExtensionContext context)
            throws Throwable {
        run(test, context);
    }

    private void run(Invocation<Void> test, ExtensionContext context) throws Throwable {
        run(
                test,
                context.getRequiredTestClass().getName(),
                context.getRequiredTestMethod().getName());
    }

    void run(Invocation<Void> test, String className, String method) throws Throwable {
        Optional<KnownRed.Entry> entry = list.find(className, method);
        if (entry.isEmpty()) {
            test.proceed();
            return;
        }
        failed.putIfAbsent(entry.get(), false);
        try {
            test.proceed();
        } catch (TestAbortedException e) {
            throw e;
        } catch (Throwable e) { // whatever a test may end by
            failed.put(entry.get(), true);
            System.out.println("KNOWN RED: " + describe(entry.get()) + ": " + e);
            throw new TestAbortedException("known to fail: " + entry.get().seen(), e);
        }
    }

    private static String describe(KnownRed.Entry entry) {
        return String.format(
                "%s (%s): %s, issue %s",
                entry.test(), entry.command(), entry.seen(), entry.issue());
    }

    @Override
    public void afterAll(ExtensionContext context) {
        check(context.getRequiredTestClass().getName());
    }

    void check(String className) {
        failed.forEach(
                (entry, any) -> {
                    if (entry.className().equals(className) && !any) {
                        throw new AssertionError(
                                entry.test() + " is listed in KNOWN-RED.txt and passes");
                    }
                });
    }
}
